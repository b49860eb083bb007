package org.wasabicart.mesh;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;

/**
 * Connections to the local backend server. The connection that was used last is used
 * first, so that spare ones age and are closed before the server closes them.
 */
final class BackendPool {

	/** Idle time after which a connection is closed, unless the server states less. */
	private static final long IDLE_TIMEOUT = TimeUnit.SECONDS.toNanos(8);

	/** Time before the server's own idle timeout at which a connection is not used. */
	private static final long IDLE_MARGIN = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Idle time up to which a connection may carry a request that must not be repeated: a
	 * close by the server that crosses the request would leave its outcome unknown.
	 */
	private static final long IDLE_TIMEOUT_NOT_IDEMPOTENT = TimeUnit.MILLISECONDS.toNanos(2500);

	/** The server is on the same VM, where a connection takes about a millisecond. */
	private static final int CONNECT_TIMEOUT_MILLISECONDS = 300;

	private final EventLoop eventLoop;

	private final InetSocketAddress address;

	private final String requestIdHeader;

	private final Deque<BackendConnection> idle = new ArrayDeque<>();

	private int generation;

	BackendPool(EventLoop eventLoop, InetSocketAddress address, String requestIdHeader) {
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.address = Objects.requireNonNull(address, "address");
		this.requestIdHeader = Objects.requireNonNull(requestIdHeader, "requestIdHeader");
	}

	/**
	 * Provides a connection, an idle one if there is one.
	 * @param idempotent whether the request may be repeated
	 * @param listener receives the connection; invoked at once for an idle connection
	 */
	void acquire(boolean idempotent, Listener listener) {
		long now = System.nanoTime();
		expire(now);
		while (!this.idle.isEmpty()) {
			BackendConnection connection = this.idle.pollFirst();
			if (!connection.open()) {
				continue;
			}
			if (!idempotent && now - connection.idleSince() > IDLE_TIMEOUT_NOT_IDEMPOTENT) {
				this.idle.addFirst(connection);
				break;
			}
			listener.connected(connection);
			return;
		}
		connect(listener);
	}

	private void connect(Listener listener) {
		int opened = this.generation;
		BackendResponseDecoder decoder = new BackendResponseDecoder();
		BackendConnection connection = new BackendConnection(this.requestIdHeader, decoder,
				(idleConnection) -> returned(idleConnection, opened));
		ChannelFuture future = Sockets.connect(this.eventLoop, this.address, CONNECT_TIMEOUT_MILLISECONDS,
				new ChannelInitializer<Channel>() {
					@Override
					protected void initChannel(Channel channel) {
						channel.pipeline().addLast(decoder, connection);
					}
				});
		future.addListener((connected) -> {
			if (connected.isSuccess()) {
				listener.connected(connection);
			}
			else {
				listener.failed(connected.cause());
			}
		});
	}

	private void returned(BackendConnection connection, int opened) {
		if (!connection.open()) {
			this.idle.remove(connection);
		}
		else if (opened != this.generation) {
			connection.close();
		}
		else {
			this.idle.addFirst(connection);
		}
	}

	/**
	 * Closes connections that have been idle for too long.
	 * @param now current time in nanoseconds
	 */
	void expire(long now) {
		while (!this.idle.isEmpty()) {
			BackendConnection oldest = this.idle.peekLast();
			long timeout = IDLE_TIMEOUT;
			if (oldest.serverIdleTimeout() >= 0) {
				timeout = Math.min(timeout, Math.max(0, oldest.serverIdleTimeout() - IDLE_MARGIN));
			}
			if (oldest.open() && now - oldest.idleSince() < timeout) {
				return;
			}
			this.idle.pollLast();
			oldest.close();
		}
	}

	/**
	 * Closes all idle connections, and those in use once they are returned.
	 */
	void reset() {
		this.generation++;
		while (!this.idle.isEmpty()) {
			this.idle.pollFirst().close();
		}
	}

	/**
	 * Receives a connection.
	 */
	interface Listener {

		/**
		 * A connection is open.
		 * @param connection connection without a request on it
		 */
		void connected(BackendConnection connection);

		/**
		 * No connection could be opened.
		 * @param cause cause
		 */
		void failed(Throwable cause);

	}

}
