package org.wasabicart.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.NodeId;

/**
 * Window that limits the bytes that one node has in flight on the link between regions.
 * All nodes share the link and none knows its total load, so the window follows the
 * delay: it shrinks while calls take longer than the shortest ones observed, as they do
 * when a queue builds up on the link. Safe for use by several threads.
 */
public final class RegionLink {

	/** Delay above the shortest one beyond which the window shrinks. */
	static final long TARGET_DELAY_NANOSECONDS = Duration.ofMillis(10).toNanos();

	/** Interval between adjustments, several times the delay between regions. */
	static final long ADJUSTMENT_INTERVAL_NANOSECONDS = Duration.ofMillis(100).toNanos();

	/** A member's shortest latency is forgotten after two such periods. */
	static final long BASELINE_PERIOD_NANOSECONDS = Duration.ofSeconds(15).toNanos();

	static final long MINIMUM_WINDOW_BYTES = 16 * 1024;

	static final long MAXIMUM_WINDOW_BYTES = 1024 * 1024;

	private static final double DECREASE_FACTOR = 0.7;

	private static final double INCREASE_FACTOR = 1.1;

	/** Weight of a new sample in the moving average of the bytes of a call. */
	private static final double CALL_BYTES_WEIGHT = 0.05;

	private static final double INITIAL_CALL_BYTES = 2048;

	private final Ticker ticker;

	private final AtomicLong bytes = new AtomicLong();

	private final Map<NodeId, Baseline> baselines = new HashMap<>();

	private long window = MINIMUM_WINDOW_BYTES * 4;

	private double meanCallBytes = INITIAL_CALL_BYTES;

	private int inFlight;

	private boolean windowReached;

	private long intervalStart;

	private long shortestExcess = Long.MAX_VALUE;

	/**
	 * Creates a window.
	 * @param ticker clock
	 */
	public RegionLink(Ticker ticker) {
		this.ticker = ticker;
		this.intervalStart = ticker.nanoseconds();
	}

	/**
	 * Returns the bytes of all calls over the link in both directions, including
	 * cancelled and refused calls.
	 * @return bytes since the start
	 */
	public long transferredBytes() {
		return this.bytes.get();
	}

	/**
	 * Returns the window.
	 * @return maximum bytes in flight
	 */
	public synchronized long window() {
		return this.window;
	}

	synchronized boolean hasRoom(long callBodyBytes) {
		double expected = (this.inFlight + 1) * this.meanCallBytes + callBodyBytes;
		boolean room = this.inFlight == 0 || expected <= this.window;
		this.windowReached |= !room;
		return room;
	}

	synchronized void started() {
		this.inFlight++;
	}

	synchronized void finished(NodeId member, RouteSample sample) {
		this.inFlight = Math.max(0, this.inFlight - 1);
		long total = sample.bytesSent() + sample.bytesReceived();
		this.bytes.addAndGet(total);
		this.meanCallBytes += CALL_BYTES_WEIGHT * (total - this.meanCallBytes);
		long now = this.ticker.nanoseconds();
		Baseline baseline = this.baselines.computeIfAbsent(member, (id) -> new Baseline(now));
		long excess = sample.latencyNanoseconds() - baseline.observe(sample.latencyNanoseconds(), now);
		// A standing queue on the link delays every call, so the least delayed call
		// shows it.
		this.shortestExcess = Math.min(this.shortestExcess, excess);
		if (now - this.intervalStart >= ADJUSTMENT_INTERVAL_NANOSECONDS) {
			adjustWindow();
			this.intervalStart = now;
		}
	}

	synchronized void retain(Set<NodeId> members) {
		this.baselines.keySet().retainAll(members);
	}

	private void adjustWindow() {
		if (this.shortestExcess > TARGET_DELAY_NANOSECONDS) {
			this.window = Math.max(MINIMUM_WINDOW_BYTES, (long) (this.window * DECREASE_FACTOR));
		}
		else if (this.windowReached) {
			this.window = Math.min(MAXIMUM_WINDOW_BYTES, (long) (this.window * INCREASE_FACTOR));
		}
		this.windowReached = false;
		this.shortestExcess = Long.MAX_VALUE;
	}

	/** Shortest latency of one member over the last one to two periods. */
	private static final class Baseline {

		private long previous = Long.MAX_VALUE;

		private long current = Long.MAX_VALUE;

		private long start;

		private Baseline(long now) {
			this.start = now;
		}

		private long observe(long latency, long now) {
			if (now - this.start > BASELINE_PERIOD_NANOSECONDS) {
				this.previous = this.current;
				this.current = Long.MAX_VALUE;
				this.start = now;
			}
			this.current = Math.min(this.current, latency);
			return Math.min(this.previous, this.current);
		}

	}

}
