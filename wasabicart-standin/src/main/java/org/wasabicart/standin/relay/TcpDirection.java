package org.wasabicart.standin.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;

import org.wasabicart.standin.relay.RelayRules.Place;

/**
 * One direction of a relayed connection. Data keeps its order, waits while the direction
 * is cut, and is discarded once the connection is silenced.
 */
final class TcpDirection {

	// Above this, reading pauses, which slows the sender down as a full link does.
	private static final int MAXIMUM_PENDING_BYTES = 512 * 1024;

	private static final long CUT_POLL_MILLISECONDS = 10;

	private final RelayNetwork network;

	private final ScheduledExecutorService timer;

	private final Place from;

	private final Place to;

	private final Channel source;

	private final Channel target;

	// Data that waits for the end of a cut. An empty buffer marks the end of the stream.
	private final Deque<ByteBuf> held = new ArrayDeque<>();

	private final Deque<Runnable> scheduled = new ArrayDeque<>();

	private long lastArrivalNanoseconds;

	private int pendingBytes;

	private boolean silenced;

	TcpDirection(RelayNetwork network, ScheduledExecutorService timer, Place from, Place to, Channel source,
			Channel target, long openNanoseconds) {
		this.network = network;
		this.timer = timer;
		this.from = from;
		this.to = to;
		this.source = source;
		this.target = target;
		this.lastArrivalNanoseconds = openNanoseconds;
	}

	synchronized void silence() {
		this.silenced = true;
	}

	boolean matches(RelayFaults.Direction direction) {
		return direction.matches(this.from, this.to);
	}

	synchronized void receive(ByteBuf data) {
		if (this.silenced) {
			data.release();
			return;
		}
		this.pendingBytes += data.readableBytes();
		if (this.pendingBytes > MAXIMUM_PENDING_BYTES) {
			this.source.config().setAutoRead(false);
		}
		if (mustHold()) {
			this.held.add(data);
			return;
		}
		send(data);
	}

	/**
	 * Handles the end of the sender's stream. The receiver does not learn of it while the
	 * direction is cut, and never if the connection is silenced.
	 */
	synchronized void receiveEnd() {
		if (this.silenced) {
			return;
		}
		if (mustHold()) {
			this.held.add(Unpooled.EMPTY_BUFFER);
			return;
		}
		close();
	}

	private boolean mustHold() {
		if (!this.held.isEmpty()) {
			return true;
		}
		if (this.network.isCut(this.from, this.to)) {
			scheduleCutPoll();
			return true;
		}
		return false;
	}

	private void scheduleCutPoll() {
		this.timer.schedule(this::releaseHeld, CUT_POLL_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

	private synchronized void releaseHeld() {
		if (this.network.isCut(this.from, this.to)) {
			scheduleCutPoll();
			return;
		}
		while (!this.held.isEmpty()) {
			ByteBuf data = this.held.poll();
			if (data.isReadable()) {
				send(data);
			}
			else {
				close();
			}
		}
	}

	private void send(ByteBuf data) {
		long now = System.nanoTime();
		int bytes = data.readableBytes();
		long arrival = this.network.arrivalOfSegments(now, this.from, this.to, bytes);
		this.lastArrivalNanoseconds = Math.max(this.lastArrivalNanoseconds, arrival);
		runAtLastArrival(now, () -> deliver(data, bytes));
	}

	private void close() {
		runAtLastArrival(System.nanoTime(),
				() -> this.target.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE));
	}

	private void runAtLastArrival(long now, Runnable action) {
		if (this.lastArrivalNanoseconds <= now && this.scheduled.isEmpty()) {
			action.run();
			return;
		}
		this.scheduled.add(action);
		this.timer.schedule(this::runNext, Math.max(0, this.lastArrivalNanoseconds - now), TimeUnit.NANOSECONDS);
	}

	// Timers with nearly equal times can fire in any order, so each runs the oldest
	// action.
	private synchronized void runNext() {
		this.scheduled.remove().run();
	}

	private void deliver(ByteBuf data, int bytes) {
		this.pendingBytes -= bytes;
		if (this.pendingBytes <= MAXIMUM_PENDING_BYTES / 2) {
			this.source.config().setAutoRead(true);
		}
		if (this.silenced) {
			data.release();
			return;
		}
		this.target.writeAndFlush(data);
	}

}
