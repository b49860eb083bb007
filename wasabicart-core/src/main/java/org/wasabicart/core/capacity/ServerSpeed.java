package org.wasabicart.core.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Estimates how much longer than usual one backend server works on its calls. Handles
 * servers that become several times slower and recover within seconds, calls that are
 * stuck and have not ended yet, routes of different length, and callees that are slow:
 * the time in nested calls is not the server's own.
 * <p>
 * The node beside a server sees how many nested calls of the server are open, but not
 * which calls they belong to. Each running call is therefore assumed to be waiting for
 * the same share of the time, so that single times are imprecise and their sums are not.
 */
public final class ServerSpeed {

	/** Time over which the recent work is averaged, in nanoseconds. */
	private static final double RECENT = 300e6;

	/**
	 * Time over which the last estimate is forgotten while the server has no work of its
	 * own: without calls it is not known whether it has recovered.
	 */
	private static final double IDLE = 5e9;

	/**
	 * Time without an observation that counts as a pause of this node, during which
	 * answers were not read; observations are at most 50 ms apart.
	 */
	private static final long PAUSE = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * Calls of usual length that are added to the recent work, at the speed of the last
	 * calls, and limit its noise.
	 */
	private static final double PRIOR_CALLS = 2;

	/**
	 * Weight of the newest call in the speed of the last calls: four calls show that a
	 * server without other work has recovered.
	 */
	private static final double LAST_CALLS_WEIGHT = 0.25;

	/** Bound of the effect of one call on the speed of the last calls. */
	private static final double MAXIMUM_FACTOR = 20;

	/** First calls of a server, which are slower than the later ones. */
	private static final int COLD_CALLS = 10;

	/** Calls after which the estimate is used. */
	private static final int MINIMUM_CALLS = 40;

	/** Weight of the newest call in the usual time of its route. */
	private static final double USUAL_WEIGHT = 0.02;

	/**
	 * Weight of the newest call while the server is unusually slow or fast. A lasting
	 * change becomes the usual time after some hundred calls, a short one does not.
	 */
	private static final double UNUSUAL_WEIGHT = 0.002;

	/** Factor from which the server counts as unusually slow or fast. */
	private static final double UNUSUAL_FACTOR = 1.5;

	/** Weight of the newest call in the share of the calls that the server serves. */
	private static final double SERVED_WEIGHT = 0.05;

	/** Least share of served calls that is assumed, which bounds the expected time. */
	private static final double MINIMUM_SERVED_SHARE = 0.1;

	/** Routes whose times are kept; the others count with the mean over all routes. */
	private static final int MAXIMUM_ROUTES = 200;

	private final Map<String, UsualTime> routes = new HashMap<>();

	private final UsualTime allRoutes = new UsualTime();

	private long lastObservation;

	private boolean started;

	private double ownClock;

	private double recentOwn;

	private double recentExpected;

	/** Logarithm of the factor by which the last calls took longer than usual. */
	private double lastCalls;

	private double meanNested;

	private double servedShare = 1;

	private double runningStarts;

	private double runningExpected;

	private int running;

	/** Running calls whose usual time was known at their start. */
	private int comparable;

	private int nested;

	private int calls;

	/**
	 * Records that time has passed. Must be invoked at least every 50 ms.
	 * @param now current time in nanoseconds
	 */
	public void observe(long now) {
		long elapsed = now - this.lastObservation;
		if (!this.started || elapsed >= PAUSE) {
			this.started = true;
			this.lastObservation = now;
			return;
		}
		if (elapsed <= 0) {
			return;
		}
		this.lastObservation = now;
		int working = this.running - Math.min(this.nested, this.running);
		double period = (working > 0) ? RECENT : IDLE;
		double kept = Math.exp(-elapsed / period);
		this.recentOwn = this.recentOwn * kept + working * RECENT * (1 - Math.exp(-elapsed / RECENT));
		this.recentExpected *= kept;
		if (this.running > 0) {
			this.ownClock += (double) elapsed * working / this.running;
		}
	}

	/**
	 * Records that the server has been given a call.
	 * @param route name of the route
	 * @param now current time in nanoseconds
	 * @return the call, for {@link #ended}
	 */
	public RunningCall started(String route, long now) {
		observe(now);
		RunningCall call = new RunningCall(route, now, this.ownClock, expectedOwn(route));
		this.running++;
		if (call.expected > 0) {
			this.comparable++;
			this.runningStarts += call.ownStart;
			this.runningExpected += call.expected;
		}
		return call;
	}

	/**
	 * Records that a call has ended.
	 * @param call call
	 * @param outcome whether the server has done the work of the call
	 * @param now current time in nanoseconds
	 * @return the server's own time divided by the usual one, or a negative number if it
	 * is not known
	 */
	public double ended(RunningCall call, Outcome outcome, long now) {
		observe(now);
		this.running--;
		if (call.expected > 0) {
			this.comparable--;
			// Zero without calls, so that rounding errors do not add up.
			this.runningStarts = (this.comparable > 0) ? this.runningStarts - call.ownStart : 0;
			this.runningExpected = (this.comparable > 0) ? this.runningExpected - call.expected : 0;
		}
		double own = Math.max(0, this.ownClock - call.ownStart);
		double expected = (call.expected > 0) ? call.expected : own;
		if (outcome != Outcome.UNKNOWN) {
			this.servedShare += SERVED_WEIGHT * (((outcome == Outcome.SERVED) ? 1 : 0) - this.servedShare);
		}
		// A failed call may have done any part of its work.
		this.recentExpected += (outcome == Outcome.SERVED) ? expected : Math.min(own, expected);
		if (outcome != Outcome.SERVED) {
			return -1;
		}
		this.calls++;
		if (call.expected > 0) {
			double factor = Math.max(1 / MAXIMUM_FACTOR, Math.min(MAXIMUM_FACTOR, own / call.expected));
			this.lastCalls += LAST_CALLS_WEIGHT * (Math.log(factor) - this.lastCalls);
		}
		if (this.calls > COLD_CALLS) {
			learn(call, own, now);
		}
		return (call.expected > 0) ? own / call.expected : -1;
	}

	private void learn(RunningCall call, double own, long now) {
		double factor = slowdown();
		boolean unusual = factor > UNUSUAL_FACTOR || factor < 1 / UNUSUAL_FACTOR;
		double weight = unusual ? UNUSUAL_WEIGHT : USUAL_WEIGHT;
		UsualTime usual = this.routes.get(call.route);
		if (usual == null && this.routes.size() < MAXIMUM_ROUTES) {
			usual = new UsualTime();
			this.routes.put(call.route, usual);
		}
		if (usual != null) {
			usual.record(unusual ? bounded(own, usual.mean) : own, weight);
		}
		// The usual time stands for the call's own time, so that a slow phase does not
		// count twice.
		this.allRoutes.record((usual != null) ? usual.mean : own, USUAL_WEIGHT);
		double nestedTime = Math.max(0, now - call.start - own);
		this.meanNested += Math.max(USUAL_WEIGHT, 1.0 / this.allRoutes.count) * (nestedTime - this.meanNested);
	}

	// Without a bound, nine seconds of a server that is 12 times slower would double the
	// usual time.
	private static double bounded(double own, double usual) {
		return (usual > 0) ? Math.max(usual / UNUSUAL_FACTOR, Math.min(usual * UNUSUAL_FACTOR, own)) : own;
	}

	/**
	 * Records that the server has made a nested call.
	 * @param now current time in nanoseconds
	 */
	public void nestedStarted(long now) {
		observe(now);
		this.nested++;
	}

	/**
	 * Records that a nested call of the server has ended.
	 * @param now current time in nanoseconds
	 */
	public void nestedEnded(long now) {
		observe(now);
		this.nested--;
	}

	/**
	 * Returns whether enough calls have ended for an estimate.
	 * @return whether the estimate can be used
	 */
	public boolean known() {
		return this.calls >= MINIMUM_CALLS;
	}

	/**
	 * Returns the factor by which the server's own work takes longer than usual. It rises
	 * while calls are overdue, before they end.
	 * @return the factor; 1 if nothing is known
	 */
	public double slowdown() {
		double prior = PRIOR_CALLS * this.allRoutes.mean;
		if (prior <= 0) {
			return 1;
		}
		double priorOwn = prior * Math.max(1, Math.exp(this.lastCalls));
		double recent = (this.recentOwn + priorOwn) / (this.recentExpected + prior);
		double ages = this.comparable * this.ownClock - this.runningStarts;
		double open = (ages + priorOwn) / (this.runningExpected + prior);
		return Math.max(recent, open);
	}

	/**
	 * Returns the expected time for which a call holds a slot, at the current speed. It
	 * is stated for each call that is served, so that a server that fails fast does not
	 * seem to be a fast one.
	 * @return the time in nanoseconds, or 0 if it is not known
	 */
	public long serviceTime() {
		double time = (ownTime() + this.meanNested) / Math.max(MINIMUM_SERVED_SHARE, this.servedShare);
		return known() ? Math.max(1, (long) time) : 0;
	}

	/**
	 * Returns the expected time for which the server itself works on a call, at the
	 * current speed and with the usual mixture of routes.
	 * @return the time in nanoseconds, or 0 if it is not known
	 */
	public double ownTime() {
		return known() ? this.allRoutes.mean * slowdown() : 0;
	}

	private double expectedOwn(String route) {
		UsualTime usual = this.routes.get(route);
		return (usual != null) ? usual.mean : this.allRoutes.mean;
	}

	/**
	 * What is known about the work of a call that has ended.
	 */
	public enum Outcome {

		/** The server has done the work of the call. */
		SERVED,

		/** The server has answered with an error or has refused the call. */
		FAILED,

		/** The call was cancelled or given up, or did not reach the server. */
		UNKNOWN

	}

	/**
	 * A call that the server runs.
	 */
	public static final class RunningCall {

		private final String route;

		private final long start;

		private final double ownStart;

		private final double expected;

		private RunningCall(String route, long start, double ownStart, double expected) {
			this.route = Objects.requireNonNull(route, "route");
			this.start = start;
			this.ownStart = ownStart;
			this.expected = expected;
		}

	}

	/**
	 * Mean of the first calls, then a moving average.
	 */
	private static final class UsualTime {

		private double mean;

		private long count;

		private void record(double time, double weight) {
			this.count++;
			this.mean += Math.max(weight, 1.0 / this.count) * (time - this.mean);
		}

	}

}
