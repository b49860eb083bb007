package org.wasabicart.core.mesh;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Refuses part of a route's requests at the entry while too many of them fail further
 * down. Answers demand beyond the capacity of a service deep in the call graph: what
 * would be given up half-way is refused before any work is spent on it. The share that is
 * let through falls by the share that failed and rises while little fails, so no
 * knowledge of the graph is needed.
 */
final class EntryThrottle {

	/** Time between changes of the share: about the time that a request takes. */
	static final long INTERVAL = TimeUnit.MILLISECONDS.toNanos(250);

	/** Longest time between changes, for routes with few requests. */
	private static final long INTERVAL_MAXIMUM = TimeUnit.SECONDS.toNanos(1);

	/** Requests without which an interval is extended. */
	private static final int MINIMUM_REQUESTS = 8;

	/** Failed share that is tolerated for the lowest priorities. */
	private static final double TOLERANCE_MINIMUM = 0.05;

	/** Added for priority 0, which is refused only when half of its requests fail. */
	private static final double TOLERANCE_RANGE = 0.45;

	/** Part of the added tolerance that is left with each lower priority. */
	private static final double TOLERANCE_DECAY = 0.35;

	/** Smallest share that is let through, so that a recovery is noticed. */
	private static final double SHARE_MINIMUM = 0.1;

	/** Smallest factor of one change: an interval may hold a few requests only. */
	private static final double CUT_MINIMUM = 0.6;

	/** First rise after a cut; doubles with each rise in a row. */
	private static final double RISE_MINIMUM = 0.03;

	private static final double RISE_MAXIMUM = 0.2;

	/**
	 * Factor of a change while requests of higher priority fail: their losses end within
	 * two seconds.
	 */
	private static final double YIELD = 0.85;

	/** Failed share above which a route takes part in an overload; errors are rarer. */
	private static final double INVOLVED_SHARE = 0.02;

	/** Failed share above which lower priorities are cut. */
	private static final double HURT_SHARE = 0.05;

	/** Weight of the newest request in the smoothed share: about the last 50 requests. */
	private static final double SMOOTHING = 0.02;

	private final int priority;

	private final double tolerance;

	private final RandomGenerator random;

	private double share = 1;

	private double rise = RISE_MINIMUM;

	private long intervalStart;

	private long lastEnd;

	private boolean started;

	private int ended;

	private int failed;

	private double smoothedFailures;

	EntryThrottle(int priority, RandomGenerator random) {
		this.priority = priority;
		this.tolerance = TOLERANCE_MINIMUM + TOLERANCE_RANGE * Math.pow(TOLERANCE_DECAY, priority);
		this.random = random;
	}

	/**
	 * Decides on one request.
	 * @param yielding whether requests of a higher priority fail
	 * @param now current time in nanoseconds
	 * @return whether the request is let through
	 */
	boolean admit(boolean yielding, long now) {
		update(yielding, now);
		return this.share >= 1 || this.random.nextDouble() < this.share;
	}

	/**
	 * Records the end of a request that was let through.
	 * @param succeeded whether it did not fail for lack of capacity
	 * @param now current time in nanoseconds
	 */
	void ended(boolean succeeded, long now) {
		this.lastEnd = now;
		this.ended++;
		this.failed += succeeded ? 0 : 1;
		this.smoothedFailures += SMOOTHING * ((succeeded ? 0 : 1) - this.smoothedFailures);
	}

	int priority() {
		return this.priority;
	}

	/**
	 * Returns whether so many requests fail that lower priorities should yield.
	 * @param now current time in nanoseconds
	 * @return whether they should
	 */
	boolean hurt(long now) {
		return this.smoothedFailures > HURT_SHARE && now - this.lastEnd < INTERVAL_MAXIMUM;
	}

	/**
	 * Returns the share of the requests that is let through.
	 * @return the share, above 0 and at most 1
	 */
	double share() {
		return this.share;
	}

	private void update(boolean yielding, long now) {
		if (!this.started) {
			this.started = true;
			this.intervalStart = now;
		}
		long elapsed = now - this.intervalStart;
		if (elapsed < INTERVAL || this.ended < MINIMUM_REQUESTS && elapsed < INTERVAL_MAXIMUM) {
			return;
		}
		double failedShare = (this.ended > 0) ? (double) this.failed / this.ended : 0;
		if (failedShare > this.tolerance && this.failed > 1) {
			this.share = Math.max(SHARE_MINIMUM,
					this.share * Math.max(CUT_MINIMUM, 1 - failedShare + this.tolerance / 2));
			this.rise = RISE_MINIMUM;
		}
		else if (yielding && this.smoothedFailures > INVOLVED_SHARE) {
			this.share = Math.max(SHARE_MINIMUM, this.share * YIELD);
			this.rise = RISE_MINIMUM;
		}
		else {
			this.share = Math.min(1, this.share + this.rise);
			this.rise = Math.min(RISE_MAXIMUM, 2 * this.rise);
		}
		this.intervalStart = now;
		this.ended = 0;
		this.failed = 0;
	}

}
