package org.wasabicart.core.mesh;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Refuses part of a route's requests of one workspace priority at the entry while too
 * many of them fail downstream. Handles demand beyond the capacity of a service deep in
 * the call graph: requests that would fail after part of their work are refused before
 * any work is done. The admitted share is reduced in proportion to the share of failed
 * requests and raised while few fail, so no knowledge of the call graph is needed.
 * Requests that are refused by the gate of the first server cost little, and that gate
 * knows its free slots; the share is reduced for them only while most requests are
 * refused.
 */
final class EntryThrottle {

	/** Time between changes of the share: about the duration of a request. */
	static final long INTERVAL = TimeUnit.MILLISECONDS.toNanos(250);

	/** Longest time between changes, for routes with few requests. */
	private static final long INTERVAL_MAXIMUM = TimeUnit.MILLISECONDS.toNanos(500);

	/** Requests below which an interval is extended. */
	private static final int MINIMUM_REQUESTS = 8;

	/** Share of failed requests that is tolerated for the lowest priorities. */
	private static final double TOLERANCE_MINIMUM = 0.05;

	/**
	 * Added tolerance of priority 0: half of its requests may fail before any is refused.
	 */
	private static final double TOLERANCE_RANGE = 0.45;

	/**
	 * Factor of the added tolerance from each priority of a route or workspace to the
	 * next lower one.
	 */
	private static final double TOLERANCE_DECAY = 0.35;

	/**
	 * Smallest admitted share: a request may make ten calls, and with a larger share
	 * these would fill a service that has lost most of its servers.
	 */
	private static final double SHARE_MINIMUM = 0.02;

	/** Smallest factor of one decrease: an interval may have only a few requests. */
	private static final double DECREASE_MINIMUM = 0.6;

	/** First increase after a decrease; doubles with each consecutive increase. */
	private static final double INCREASE_MINIMUM = 0.03;

	private static final double INCREASE_MAXIMUM = 0.2;

	/**
	 * Factor of a decrease in favour of higher priorities, whose losses then end within
	 * two seconds.
	 */
	private static final double PRIORITY_DECREASE = 0.7;

	/** Share of wasted requests that indicates an overload; other errors are rarer. */
	private static final double OVERLOAD_WASTED_SHARE = 0.02;

	/**
	 * Share of lost requests, refused by a gate or wasted, above which lower priorities
	 * are reduced.
	 */
	private static final double HIGH_LOSS_SHARE = 0.05;

	/**
	 * Share of requests refused by the gate of the first server above which fewer are
	 * sent to it.
	 */
	private static final double REFUSED_TOLERANCE = 0.5;

	private final RequestPriority priority;

	private final double tolerance;

	private final RandomGenerator random;

	private double share = 1;

	private double increase = INCREASE_MINIMUM;

	private long intervalStart;

	private boolean started;

	private int ended;

	private int refused;

	private int wasted;

	private final LossAverage lossAverage = new LossAverage();

	private final LossAverage wasteAverage = new LossAverage();

	EntryThrottle(RequestPriority priority, RandomGenerator random) {
		this.priority = priority;
		this.tolerance = TOLERANCE_MINIMUM
				+ TOLERANCE_RANGE * Math.pow(TOLERANCE_DECAY, (double) priority.workspace() + priority.route());
		this.random = random;
	}

	/**
	 * Decides on one request.
	 * @param constraint effect of the routes of other priorities on this one
	 * @param now current time in nanoseconds
	 * @return whether the request is admitted
	 */
	boolean admit(ShareConstraint constraint, long now) {
		updateShare(constraint, now);
		return this.share >= 1 || this.random.nextDouble() < this.share;
	}

	/**
	 * Records the outcome of an admitted request.
	 * @param outcome outcome of the request
	 * @param now current time in nanoseconds
	 */
	void ended(RequestOutcome outcome, long now) {
		this.ended++;
		this.refused += (outcome == RequestOutcome.REFUSED) ? 1 : 0;
		this.wasted += (outcome == RequestOutcome.WASTED) ? 1 : 0;
		this.lossAverage.record(outcome == RequestOutcome.REFUSED || outcome == RequestOutcome.WASTED, now);
		this.wasteAverage.record(outcome == RequestOutcome.WASTED, now);
	}

	RequestPriority priority() {
		return this.priority;
	}

	/**
	 * Returns whether so many requests are lost that lower priorities should be reduced.
	 * @param now current time in nanoseconds
	 * @return whether the share of lost requests is high and the last loss is recent
	 */
	boolean hasHighLoss(long now) {
		return this.lossAverage.share() > HIGH_LOSS_SHARE && this.lossAverage.hasRecentLoss(now);
	}

	/**
	 * Returns the share of the requests that is admitted.
	 * @return the share, above 0 and at most 1
	 */
	double share() {
		return this.share;
	}

	/**
	 * Returns whether requests of the route were wasted recently, so that the route may
	 * contribute to an overload downstream.
	 * @return whether it may contribute
	 */
	boolean hasWastedRequests() {
		return this.wasteAverage.share() > OVERLOAD_WASTED_SHARE;
	}

	/**
	 * Returns whether the next decision may change the share.
	 * @param now current time in nanoseconds
	 * @return whether the current interval is over
	 */
	boolean updateDue(long now) {
		long elapsed = now - this.intervalStart;
		return this.started && elapsed >= INTERVAL && (this.ended >= MINIMUM_REQUESTS || elapsed >= INTERVAL_MAXIMUM);
	}

	private void updateShare(ShareConstraint constraint, long now) {
		if (!this.started) {
			this.started = true;
			this.intervalStart = now;
		}
		if (!updateDue(now)) {
			return;
		}
		long elapsed = now - this.intervalStart;
		double wastedShare = (this.ended > 0) ? (double) this.wasted / this.ended : 0;
		double refusedShare = (this.ended > 0) ? (double) this.refused / this.ended : 0;
		if (this.refused + this.wasted == 0) {
			this.lossAverage.decay(elapsed);
		}
		if (this.wasted == 0) {
			this.wasteAverage.decay(elapsed);
		}
		if (wastedShare > this.tolerance && this.wasted > 1) {
			decrease(Math.max(DECREASE_MINIMUM, 1 - wastedShare + this.tolerance / 2));
		}
		else if (refusedShare > REFUSED_TOLERANCE && this.refused > 1) {
			decrease(Math.max(DECREASE_MINIMUM, 1 - refusedShare + REFUSED_TOLERANCE));
		}
		else if (constraint == ShareConstraint.REDUCE && hasWastedRequests() && this.wasteAverage.hasRecentLoss(now)) {
			decrease(PRIORITY_DECREASE);
		}
		else if (constraint == ShareConstraint.NONE || !hasWastedRequests()) {
			this.share = Math.min(1, this.share + this.increase);
			this.increase = Math.min(INCREASE_MAXIMUM, 2 * this.increase);
		}
		this.intervalStart = now;
		this.ended = 0;
		this.refused = 0;
		this.wasted = 0;
	}

	private void decrease(double factor) {
		this.share = Math.max(SHARE_MINIMUM, this.share * factor);
		this.increase = INCREASE_MINIMUM;
	}

	/**
	 * Effect of the routes of other priorities on the admitted share of a route.
	 */
	enum ShareConstraint {

		/** The share may be raised. */
		NONE,

		/**
		 * The share of an overloaded route is not raised: routes of higher priority lose
		 * or refuse requests, and capacity that becomes free is left to them.
		 */
		HOLD,

		/**
		 * The share of an overloaded route is reduced: routes of higher priority lose
		 * requests, and no lower priority is left to be reduced.
		 */
		REDUCE

	}

}
