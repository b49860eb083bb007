package org.wasabicart.core.admission;

import java.time.Duration;

/**
 * Calls per second that a backend server can end, from the throughput and from the time
 * that calls hold a slot. The throughput alone is too low while slots are free; the
 * holding time alone is wrong for a moment after each change of the limit.
 */
final class CapacityEstimate {

	private static final double THROUGHPUT_HALF_LIFE = Duration.ofMillis(100).toNanos();

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private static final int HOLD_CALLS_MINIMUM = 10;

	/** Decayed number of ended calls. */
	private double ended;

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
		this.ended = decayed(now) + 1;
		this.lastEnd = now;
		if (this.hold == 0) {
			this.hold = Math.max(1, holdNanoseconds);
		}
		else {
			this.hold += (holdNanoseconds - this.hold) / Math.max(HOLD_CALLS_MINIMUM, limit);
		}
	}

	double perSecond(int limit, int running, long now) {
		double throughput = decayed(now) * NANOSECONDS_PER_SECOND * Math.log(2) / THROUGHPUT_HALF_LIFE;
		// A server that stops answering would otherwise keep its last holding time.
		double atLeast = (running >= limit) ? now - this.lastEnd : 0;
		double bySlots = limit * NANOSECONDS_PER_SECOND / Math.max(this.hold, atLeast);
		return Math.max(throughput, bySlots);
	}

	private double decayed(long now) {
		return this.ended * Math.pow(0.5, (now - this.lastEnd) / THROUGHPUT_HALF_LIFE);
	}

}
