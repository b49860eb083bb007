package org.wasabicart.mesh;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;

/**
 * Open connections of one {@link LocalHttpServer}, whose number and times are limited.
 * All methods are called on the event loop.
 */
final class LocalConnections {

	private static final long MAXIMUM_CHECK_INTERVAL = TimeUnit.SECONDS.toNanos(1);

	private final LocalHttpServer.Limits limits;

	private final DecisionLog decisions = new DecisionLog();

	/** Connections in the order of their last activity, the longest idle one first. */
	private final Set<Connection> connections = new LinkedHashSet<>();

	LocalConnections(LocalHttpServer.Limits limits) {
		this.limits = Objects.requireNonNull(limits, "limits");
	}

	/**
	 * Starts to check the times of the connections.
	 * @param eventLoop event loop of the connections
	 */
	void startChecks(EventLoop eventLoop) {
		long interval = Math.min(MAXIMUM_CHECK_INTERVAL, this.limits.requestTimeout().toNanos());
		eventLoop.scheduleWithFixedDelay(this::closeLate, interval, interval, TimeUnit.NANOSECONDS);
	}

	private void closeLate() {
		long now = System.nanoTime();
		for (Connection connection : Set.copyOf(this.connections)) {
			long time = now - connection.since;
			if (connection.receiving && time > this.limits.requestTimeout().toNanos()) {
				connection.close("request-time");
			}
			else if (time > this.limits.idleTimeout().toNanos()) {
				connection.close("idle");
			}
		}
	}

	private void add(Connection connection) {
		Iterator<Connection> longestIdle = this.connections.iterator();
		if (this.connections.size() >= this.limits.connections() && longestIdle.hasNext()) {
			longestIdle.next().close("connections");
		}
		this.connections.add(connection);
	}

	/**
	 * First handler of a connection, which follows its activity.
	 */
	final class Connection extends ChannelInboundHandlerAdapter {

		private ChannelHandlerContext context;

		/** Time at which the connection became idle, or the first byte of a request. */
		private long since = System.nanoTime();

		private boolean receiving;

		@Override
		public void channelActive(ChannelHandlerContext activeContext) throws Exception {
			this.context = activeContext;
			add(this);
			super.channelActive(activeContext);
		}

		@Override
		public void channelRead(ChannelHandlerContext readContext, Object message) throws Exception {
			// Further bytes of a request do not extend its time.
			if (!this.receiving) {
				this.receiving = true;
				recordActivity();
			}
			super.channelRead(readContext, message);
		}

		@Override
		public void channelInactive(ChannelHandlerContext inactiveContext) throws Exception {
			LocalConnections.this.connections.remove(this);
			super.channelInactive(inactiveContext);
		}

		/**
		 * Records that a request is complete.
		 */
		void requestCompleted() {
			this.receiving = false;
			recordActivity();
		}

		private void recordActivity() {
			this.since = System.nanoTime();
			// The connection is missing if it has been closed by a limit.
			if (LocalConnections.this.connections.remove(this)) {
				LocalConnections.this.connections.add(this);
			}
		}

		/**
		 * Closes the connection, unless it has been closed before.
		 * @param reason reason for the log
		 */
		void close(String reason) {
			if (!LocalConnections.this.connections.remove(this)) {
				return;
			}
			LocalConnections.this.decisions.log("local-connection-closed", "address",
					this.context.channel().localAddress(), "peer", this.context.channel().remoteAddress(), "reason",
					reason);
			this.context.close();
		}

	}

}
