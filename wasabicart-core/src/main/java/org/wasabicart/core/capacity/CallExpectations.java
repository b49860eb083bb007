package org.wasabicart.core.capacity;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.wasabicart.core.mesh.MemberStatus;

/**
 * Tells whether a call that has not ended takes far longer than expected, so that a
 * request that may run twice should be sent to another server. Handles calls at a server
 * that has become several times slower.
 */
public final class CallExpectations {

	/** Calls of a route after which an expectation exists. */
	private static final int MINIMUM_CALLS = 20;

	/** Weight of the newest call. */
	private static final double WEIGHT = 0.02;

	/** Mean deviations above the mean that calls rarely exceed. */
	private static final double DEVIATIONS = 4;

	/** Least factor above the mean time of the route. */
	private static final double MINIMUM_FACTOR = 2.5;

	/** Factor above the typical time from which a server is known to be slow. */
	private static final double SLOW_FACTOR = 2;

	/** Factor above the mean time of the route at a server that is known to be slow. */
	private static final double SLOW_SERVER_FACTOR = 1.5;

	private final Map<String, RouteTimes> routes = new HashMap<>();

	/**
	 * Records the time of a call that a server has answered.
	 * @param route name of the route
	 * @param duration time from sending the call to its result in nanoseconds
	 */
	public void record(String route, long duration) {
		this.routes.computeIfAbsent(route, (name) -> new RouteTimes()).record(duration);
	}

	/**
	 * Removes the times of routes that are no longer configured.
	 * @param names names of the configured routes
	 */
	public void retain(Collection<String> names) {
		this.routes.keySet().retainAll(names);
	}

	/**
	 * Returns whether a call has run for far longer than expected.
	 * @param member server that runs the call
	 * @param route name of the route
	 * @param elapsed time since the call was sent in nanoseconds
	 * @param typicalTime expected time at a typical server of the service in nanoseconds
	 * as {@link ServiceTimes#typical} returns it, 0 if it is not known
	 * @return whether another server would probably have answered; false without
	 * experience with the route
	 */
	public boolean farBeyondExpected(MemberStatus member, String route, long elapsed, double typicalTime) {
		RouteTimes times = this.routes.get(route);
		if (times == null || times.count < MINIMUM_CALLS) {
			return false;
		}
		boolean slowServer = typicalTime > 0 && member.serviceTime() > SLOW_FACTOR * typicalTime;
		return elapsed > (slowServer ? SLOW_SERVER_FACTOR * times.mean
				: Math.max(MINIMUM_FACTOR * times.mean, times.mean + DEVIATIONS * times.deviation));
	}

	/**
	 * Mean and mean deviation of the times of one route.
	 */
	private static final class RouteTimes {

		private double mean;

		private double deviation;

		private long count;

		private void record(double time) {
			this.count++;
			double weight = Math.max(WEIGHT, 1.0 / this.count);
			// Bounded, so that a slow phase does not become the expectation.
			double used = (this.count > MINIMUM_CALLS) ? Math.min(time, MINIMUM_FACTOR * this.mean) : time;
			this.deviation += weight * (Math.abs(used - this.mean) - this.deviation);
			this.mean += weight * (used - this.mean);
		}

	}

}
