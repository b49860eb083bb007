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
 * Pool of connections to the local backend server. The most recently used connection is
 * reused first, so that surplus connections reach their idle timeout and are closed
 * before the server closes them.
 */
final class BackendPool {

	/**
	 * Idle time after which a connection is closed, unless the server announces a shorter
	 * one.
	 */
	private static final long IDLE_TIMEOUT = TimeUnit.SECONDS.toNanos(8);

	/**
	 * Time before the server's announced idle timeout at which a connection is closed.
	 */
	private static final long IDLE_MARGIN = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Maximum idle time of a connection that is reused for a request that must not be
	 * repeated. If the server closed the connection while the request was in transit, the
	 * outcome of the request would be unknown.
	 */
	private static final long NON_IDEMPOTENT_IDLE_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(2500);

	/** Connecting to a server on the same VM takes about a millisecond. */
	private static final int CONNECT_TIMEOUT_MILLISECONDS = 300;

	private final EventLoop eventLoop;

	private final InetSocketAddress address;

	private final String requestIdHeader;

	private final HeldMemory memory;

	private final Deque<BackendConnection> idle = new ArrayDeque<>();

	private int generation;

	BackendPool(EventLoop eventLoop, InetSocketAddress address, String requestIdHeader, HeldMemory memory) {
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.address = Objects.requireNonNull(address, "address");
		this.requestIdHeader = Objects.requireNonNull(requestIdHeader, "requestIdHeader");
		this.memory = Objects.requireNonNull(memory, "memory");
	}

	/**
	 * Provides an idle connection if there is one, otherwise a new one.
	 * @param idempotent whether the request may be repeated
	 * @param requestId id of the request
	 * @param listener receives the connection; invoked before this returns if the
	 * connection was idle
	 */
	void acquire(boolean idempotent, String requestId, Listener listener) {
		long now = System.nanoTime();
		expire(now);
		while (!this.idle.isEmpty()) {
			BackendConnection connection = this.idle.pollFirst();
			if (!connection.usable()) {
				continue;
			}
			if (!connection.usableFor(requestId)
					|| !idempotent && now - connection.idleSince() > NON_IDEMPOTENT_IDLE_TIMEOUT) {
				this.idle.addFirst(connection);
				break;
			}
			listener.connected(connection);
			return;
		}
		connect(listener);
	}

	private void connect(Listener listener) {
		int connectionGeneration = this.generation;
		ClientResponseDecoder decoder = new ClientResponseDecoder();
		BackendConnection connection = new BackendConnection(this.requestIdHeader, decoder, this.memory,
				(idleConnection) -> release(idleConnection, connectionGeneration));
		ChannelFuture future = Sockets.connect(this.eventLoop, this.address, CONNECT_TIMEOUT_MILLISECONDS,
				new ChannelInitializer<Channel>() {
					@Override
					protected void initChannel(Channel channel) {
						channel.pipeline()
							.addLast(new PacedWriteHandler(BackendPool.this.memory, HeldMemory.Kind.FIXED), decoder,
									connection);
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

	private void release(BackendConnection connection, int connectionGeneration) {
		if (!connection.usable()) {
			this.idle.remove(connection);
		}
		else if (connectionGeneration != this.generation) {
			connection.close();
		}
		else {
			this.idle.addFirst(connection);
		}
	}

	/**
	 * Closes connections whose idle timeout has passed.
	 * @param now current time in nanoseconds
	 */
	void expire(long now) {
		while (!this.idle.isEmpty()) {
			BackendConnection oldest = this.idle.peekLast();
			long timeout = IDLE_TIMEOUT;
			if (oldest.serverIdleTimeout() >= 0) {
				timeout = Math.min(timeout, Math.max(0, oldest.serverIdleTimeout() - IDLE_MARGIN));
			}
			if (oldest.usable() && now - oldest.idleSince() < timeout) {
				return;
			}
			this.idle.pollLast();
			oldest.close();
		}
	}

	/**
	 * Closes all idle connections, and each connection in use once it becomes idle.
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
		 * A connection is available.
		 * @param connection open connection without an outstanding request
		 */
		void connected(BackendConnection connection);

		/**
		 * No connection could be opened.
		 * @param cause cause
		 */
		void failed(Throwable cause);

	}

}
