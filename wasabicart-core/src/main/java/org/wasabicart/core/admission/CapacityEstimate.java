package org.wasabicart.core.admission;

/**
 * Calls per second that a backend server can end, from the throughput and from the time
 * that calls hold a slot. The throughput alone is too low while slots are free; the
 * holding time alone is wrong for a moment after each change of the limit.
 */
final class CapacityEstimate {

	/** Calls over which the time between two ends is averaged. */
	private static final int GAP_CALLS = 50;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private static final int HOLD_CALLS_MINIMUM = 10;

	/** Mean time between two ends, zero until observed. */
	private double gap;

	private long lastEnd;

	/** Mean time between admission and end, zero until observed. */
	private double hold;

	CapacityEstimate(long now) {
		this.lastEnd = now;
	}

	boolean known() {
		return this.hold > 0;
	}

	void ended(long holdNanoseconds, int limit, long now) {
		long sinceLast = now - this.lastEnd;
		this.gap += (this.gap == 0) ? sinceLast : (sinceLast - this.gap) / GAP_CALLS;
		this.lastEnd = now;
		if (this.hold == 0) {
			this.hold = Math.max(1, holdNanoseconds);
		}
		else {
			this.hold += (holdNanoseconds - this.hold) / Math.max(HOLD_CALLS_MINIMUM, limit);
		}
	}

	double perSecond(int limit, int running, long now) {
		double throughput = NANOSECONDS_PER_SECOND / Math.max(1, Math.max(this.gap, now - this.lastEnd));
		// A server that stops answering would otherwise keep its last holding time.
		double atLeast = (running >= limit) ? now - this.lastEnd : 0;
		double bySlots = limit * NANOSECONDS_PER_SECOND / Math.max(this.hold, atLeast);
		return Math.max(throughput, bySlots);
	}

}
