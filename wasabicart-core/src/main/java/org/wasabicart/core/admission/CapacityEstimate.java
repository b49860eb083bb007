package org.wasabicart.core.admission;

/**
 * Estimates how many calls per second a backend server can finish, from the throughput
 * and from the time that calls hold a slot. The throughput alone is too low while slots
 * are free. The holding time alone is wrong for a short time after each change of the
 * limit.
 */
final class CapacityEstimate {

	/** Calls over which the interval between finished calls is averaged. */
	private static final int FINISH_INTERVAL_CALLS = 50;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	/** Fewest calls over which the holding time is averaged; more at a higher limit. */
	private static final int MINIMUM_HOLDING_TIME_CALLS = 10;

	/** Mean interval between finished calls in nanoseconds, zero until measured. */
	private double meanFinishInterval;

	private long lastFinishTime;

	/** Mean time from admission to finish in nanoseconds, zero until measured. */
	private double meanHoldingTime;

	CapacityEstimate(long now) {
		this.lastFinishTime = now;
	}

	boolean known() {
		return this.meanHoldingTime > 0;
	}

	void recordFinish(long holdingNanoseconds, int limit, long now) {
		long sinceLast = now - this.lastFinishTime;
		this.meanFinishInterval += (this.meanFinishInterval == 0) ? sinceLast
				: (sinceLast - this.meanFinishInterval) / FINISH_INTERVAL_CALLS;
		this.lastFinishTime = now;
		if (this.meanHoldingTime == 0) {
			this.meanHoldingTime = Math.max(1, holdingNanoseconds);
		}
		else {
			this.meanHoldingTime += (holdingNanoseconds - this.meanHoldingTime)
					/ Math.max(MINIMUM_HOLDING_TIME_CALLS, limit);
		}
	}

	double perSecond(int limit, int running, long now) {
		double throughput = NANOSECONDS_PER_SECOND
				/ Math.max(1, Math.max(this.meanFinishInterval, now - this.lastFinishTime));
		// While no slot is free, the time since the last finish is a lower bound, so that
		// the estimate falls for a server that stops responding.
		double minimumHoldingTime = (running >= limit) ? now - this.lastFinishTime : 0;
		double slotThroughput = limit * NANOSECONDS_PER_SECOND / Math.max(this.meanHoldingTime, minimumHoldingTime);
		return Math.max(throughput, slotThroughput);
	}

}
