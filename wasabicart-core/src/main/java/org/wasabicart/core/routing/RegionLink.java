package org.wasabicart.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.NodeId;

/**
 * Limit on the bytes that one node has in flight on the link between regions. All nodes
 * share the link and none knows its total load, so the limit follows the delay: it falls
 * while calls take longer than the shortest ones observed, as they do when the link
 * queues. Safe for use by several threads.
 */
public final class RegionLink {

	/** Delay above the shortest one at which the limit falls. */
	static final long TARGET_DELAY = Duration.ofMillis(10).toNanos();

	/** Interval of one decision, several times the delay between regions. */
	static final long INTERVAL = Duration.ofMillis(100).toNanos();

	/** The shortest delay of a member is forgotten after two such periods. */
	static final long BASELINE_PERIOD = Duration.ofSeconds(15).toNanos();

	static final long MINIMUM_WINDOW = 16 * 1024;

	static final long MAXIMUM_WINDOW = 1024 * 1024;

	private static final double DECREASE = 0.7;

	private static final double INCREASE = 1.1;

	private static final double BYTES_WEIGHT = 0.05;

	private static final double INITIAL_CALL_BYTES = 2048;

	private final Ticker ticker;

	private final AtomicLong bytes = new AtomicLong();

	private final Map<NodeId, Baseline> baselines = new HashMap<>();

	private long window = MINIMUM_WINDOW * 4;

	private double callBytes = INITIAL_CALL_BYTES;

	private int inFlight;

	private boolean filled;

	private long intervalStart;

	private long shortestExcess = Long.MAX_VALUE;

	/**
	 * Creates a limit.
	 * @param ticker clock
	 */
	public RegionLink(Ticker ticker) {
		this.ticker = ticker;
		this.intervalStart = ticker.nanoseconds();
	}

	/**
	 * Returns the bytes of all calls across the link, in both directions, with cancelled
	 * and refused ones.
	 * @return bytes since the start
	 */
	public long regionBytes() {
		return this.bytes.get();
	}

	/**
	 * Returns the limit.
	 * @return bytes in flight
	 */
	public synchronized long window() {
		return this.window;
	}

	synchronized boolean hasRoom(long callBodyBytes) {
		double expected = (this.inFlight + 1) * this.callBytes + callBodyBytes;
		boolean room = this.inFlight == 0 || expected <= this.window;
		this.filled |= !room;
		return room;
	}

	synchronized void started() {
		this.inFlight++;
	}

	synchronized void finished(NodeId member, RouteSample sample) {
		this.inFlight = Math.max(0, this.inFlight - 1);
		long total = sample.bytesSent() + sample.bytesReceived();
		this.bytes.addAndGet(total);
		this.callBytes += BYTES_WEIGHT * (total - this.callBytes);
		long now = this.ticker.nanoseconds();
		Baseline baseline = this.baselines.computeIfAbsent(member, (id) -> new Baseline(now));
		long excess = sample.latencyNanoseconds() - baseline.observe(sample.latencyNanoseconds(), now);
		// A standing queue on the link delays every call, so the least delayed one shows
		// it.
		this.shortestExcess = Math.min(this.shortestExcess, excess);
		if (now - this.intervalStart >= INTERVAL) {
			adapt();
			this.intervalStart = now;
		}
	}

	synchronized void retain(Set<NodeId> members) {
		this.baselines.keySet().retainAll(members);
	}

	private void adapt() {
		if (this.shortestExcess > TARGET_DELAY) {
			this.window = Math.max(MINIMUM_WINDOW, (long) (this.window * DECREASE));
		}
		else if (this.filled) {
			this.window = Math.min(MAXIMUM_WINDOW, (long) (this.window * INCREASE));
		}
		this.filled = false;
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
			if (now - this.start > BASELINE_PERIOD) {
				this.previous = this.current;
				this.current = Long.MAX_VALUE;
				this.start = now;
			}
			this.current = Math.min(this.current, latency);
			return Math.min(this.previous, this.current);
		}

	}

}
