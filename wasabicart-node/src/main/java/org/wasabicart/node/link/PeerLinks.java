package org.wasabicart.node.link;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;

import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.RefusalReason;

/**
 * Opens streams to one peer on its current link, and replaces that link when it is
 * suspect or closed. A suspect link stays open until its last stream has ended. All links
 * are confined to one event loop.
 */
final class PeerLinks {

	private static final Logger logger = Logger.getLogger(PeerLinks.class);

	private final NodeAddress address;

	private final EventLoop eventLoop;

	private final int maximumWaitingStreams;

	private final Function<PeerLinks, CompletableFuture<ClientLink>> connector;

	private final Deque<ClientStream> waiting = new ArrayDeque<>();

	private ClientLink current;

	private boolean connecting;

	PeerLinks(NodeAddress address, EventLoop eventLoop, int maximumWaitingStreams,
			Function<PeerLinks, CompletableFuture<ClientLink>> connector) {
		this.address = address;
		this.eventLoop = eventLoop;
		this.maximumWaitingStreams = maximumWaitingStreams;
		this.connector = connector;
	}

	InetSocketAddress socketAddress() {
		return new InetSocketAddress(this.address.host(), this.address.port());
	}

	EventLoop eventLoop() {
		return this.eventLoop;
	}

	/**
	 * Sends a call or control request. Can be called from any thread.
	 * @param stream stream of the request
	 * @param timeoutNanoseconds time after which the stream ends without a response
	 */
	void send(ClientStream stream, long timeoutNanoseconds) {
		try {
			this.eventLoop.execute(() -> start(stream, timeoutNanoseconds));
		}
		catch (RejectedExecutionException ex) {
			// The event loop has shut down, so it does not use the stream concurrently.
			stream.end(RefusalReason.DRAINING, FailureReason.CONNECTION_LOST);
		}
	}

	void cancel(ClientStream stream) {
		if (!this.eventLoop.isShuttingDown()) {
			this.eventLoop.execute(() -> stream.abort(RefusalReason.CANCELLED, FailureReason.CANCELLED));
		}
	}

	private void start(ClientStream stream, long timeoutNanoseconds) {
		if (timeoutNanoseconds <= 0) {
			stream.end(RefusalReason.EXPIRED, FailureReason.TIMEOUT);
			return;
		}
		stream.setTimeoutTask(this.eventLoop.schedule(() -> stream.abort(RefusalReason.EXPIRED, FailureReason.TIMEOUT),
				timeoutNanoseconds, TimeUnit.NANOSECONDS));
		if (this.current != null && this.current.usable()) {
			this.current.open(stream);
		}
		else if (this.waiting.size() >= this.maximumWaitingStreams) {
			stream.end(RefusalReason.TABLE_FULL, FailureReason.CONNECTION_LOST);
		}
		else {
			this.waiting.add(stream);
			connect();
		}
	}

	private void connect() {
		if (this.connecting) {
			return;
		}
		this.connecting = true;
		this.connector.apply(this).whenComplete(this::connected);
	}

	private void connected(ClientLink link, Throwable failure) {
		this.connecting = false;
		this.current = link;
		if (failure != null) {
			logger.debugf("event=link-not-opened peer=%s reason=\"%s\"", this.address, failure);
		}
		for (ClientStream stream = this.waiting.poll(); stream != null; stream = this.waiting.poll()) {
			if (stream.finished()) {
				continue;
			}
			if (link != null) {
				link.open(stream);
			}
			else {
				stream.end(RefusalReason.UNREACHABLE, FailureReason.CONNECTION_LOST);
			}
		}
	}

}
