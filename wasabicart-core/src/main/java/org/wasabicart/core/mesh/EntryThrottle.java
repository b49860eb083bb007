package org.wasabicart.core.mesh;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Refuses part of a route's requests at the entry while too many of them fail further
 * down. Answers demand beyond the capacity of a service deep in the call graph: what
 * would be given up half-way is refused before any work is spent on it. The share that is
 * let through falls by the share that failed and rises while little fails, so no
 * knowledge of the graph is needed. Requests that the first gate refuses cost little, and
 * the gate knows its slots; they are cut only where most are refused.
 */
final class EntryThrottle {

	/** Time between changes of the share: about the time that a request takes. */
	static final long INTERVAL = TimeUnit.MILLISECONDS.toNanos(250);

	/** Longest time between changes, for routes with few requests. */
	private static final long INTERVAL_MAXIMUM = TimeUnit.MILLISECONDS.toNanos(500);

	/** Requests without which an interval is extended. */
	private static final int MINIMUM_REQUESTS = 8;

	/** Failed share that is tolerated for the lowest priorities. */
	private static final double TOLERANCE_MINIMUM = 0.05;

	/** Added for priority 0, which is refused only when half of its requests fail. */
	private static final double TOLERANCE_RANGE = 0.45;

	/** Part of the added tolerance that is left with each lower priority. */
	private static final double TOLERANCE_DECAY = 0.35;

	/**
	 * Smallest share that is let through: a request may make ten calls, and these would
	 * fill a service that has lost most of its servers.
	 */
	private static final double SHARE_MINIMUM = 0.02;

	/** Smallest factor of one change: an interval may hold a few requests only. */
	private static final double CUT_MINIMUM = 0.6;

	/** First rise after a cut; doubles with each rise in a row. */
	private static final double RISE_MINIMUM = 0.03;

	private static final double RISE_MAXIMUM = 0.2;

	/**
	 * Factor of a change while requests of higher priority fail: their losses end within
	 * two seconds.
	 */
	private static final double YIELD = 0.7;

	/** Failed share above which a route takes part in an overload; errors are rarer. */
	private static final double INVOLVED_SHARE = 0.02;

	/** Failed share above which lower priorities are cut. */
	private static final double HURT_SHARE = 0.05;

	/**
	 * Share of requests refused by the first gate above which they are not sent there.
	 */
	private static final double REFUSED_TOLERANCE = 0.5;

	private final int priority;

	private final double tolerance;

	private final RandomGenerator random;

	private double share = 1;

	private double rise = RISE_MINIMUM;

	private long intervalStart;

	private boolean started;

	private int ended;

	private int refused;

	private int wasted;

	private final LossAverage lost = new LossAverage();

	private final LossAverage lostHalfWay = new LossAverage();

	EntryThrottle(int priority, RandomGenerator random) {
		this.priority = priority;
		this.tolerance = TOLERANCE_MINIMUM + TOLERANCE_RANGE * Math.pow(TOLERANCE_DECAY, priority);
		this.random = random;
	}

	/**
	 * Decides on one request.
	 * @param pressure state of the routes of other priorities
	 * @param now current time in nanoseconds
	 * @return whether the request is let through
	 */
	boolean admit(Pressure pressure, long now) {
		update(pressure, now);
		return this.share >= 1 || this.random.nextDouble() < this.share;
	}

	/**
	 * Records the end of a request that was let through.
	 * @param end how it ended
	 * @param now current time in nanoseconds
	 */
	void ended(RequestEnd end, long now) {
		this.ended++;
		this.refused += (end == RequestEnd.REFUSED) ? 1 : 0;
		this.wasted += (end == RequestEnd.WASTED) ? 1 : 0;
		this.lost.record(end == RequestEnd.REFUSED || end == RequestEnd.WASTED, now);
		this.lostHalfWay.record(end == RequestEnd.WASTED, now);
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
		return this.lost.share() > HURT_SHARE && this.lost.recent(now);
	}

	/**
	 * Returns the share of the requests that is let through.
	 * @return the share, above 0 and at most 1
	 */
	double share() {
		return this.share;
	}

	/**
	 * Returns whether requests of the route failed half-way not long ago, so that it may
	 * be part of an overload further down.
	 * @return whether it may be
	 */
	boolean involved() {
		return this.lostHalfWay.share() > INVOLVED_SHARE;
	}

	private void update(Pressure pressure, long now) {
		if (!this.started) {
			this.started = true;
			this.intervalStart = now;
		}
		long elapsed = now - this.intervalStart;
		if (elapsed < INTERVAL || this.ended < MINIMUM_REQUESTS && elapsed < INTERVAL_MAXIMUM) {
			return;
		}
		double wastedShare = (this.ended > 0) ? (double) this.wasted / this.ended : 0;
		double refusedShare = (this.ended > 0) ? (double) this.refused / this.ended : 0;
		if (this.refused + this.wasted == 0) {
			this.lost.fade(elapsed);
		}
		if (this.wasted == 0) {
			this.lostHalfWay.fade(elapsed);
		}
		if (wastedShare > this.tolerance && this.wasted > 1) {
			cut(Math.max(CUT_MINIMUM, 1 - wastedShare + this.tolerance / 2));
		}
		else if (refusedShare > REFUSED_TOLERANCE && this.refused > 1) {
			cut(Math.max(CUT_MINIMUM, 1 - refusedShare + REFUSED_TOLERANCE));
		}
		else if (pressure == Pressure.YIELD && involved() && this.lostHalfWay.recent(now)) {
			cut(YIELD);
		}
		else if (pressure == Pressure.NONE || !involved()) {
			this.share = Math.min(1, this.share + this.rise);
			this.rise = Math.min(RISE_MAXIMUM, 2 * this.rise);
		}
		this.intervalStart = now;
		this.ended = 0;
		this.refused = 0;
		this.wasted = 0;
	}

	private void cut(double factor) {
		this.share = Math.max(SHARE_MINIMUM, this.share * factor);
		this.rise = RISE_MINIMUM;
	}

	/**
	 * What routes of other priorities ask of a route.
	 */
	enum Pressure {

		/** Routes of higher priority are well. */
		NONE,

		/**
		 * Routes of higher priority are refused in part: the room that becomes free is
		 * theirs.
		 */
		HOLD,

		/** Routes of higher priority fail, and no lower one is left to be cut. */
		YIELD

	}

}
