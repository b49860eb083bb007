package org.wasabicart.core.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Mean time for which calls of each route hold a slot of one server. Handles servers
 * whose routes take very different times, for which a mean over all calls starts the long
 * ones too late.
 */
public final class RouteHoldTimes {

	/** Weight of the newest call; averages over about the last 20 calls of a route. */
	private static final double WEIGHT = 0.05;

	/**
	 * Routes that are remembered. Names come from other nodes and may be out of use after
	 * a change of the configuration.
	 */
	private static final int MAXIMUM_ROUTES = 256;

	private final Map<String, Double> means = new HashMap<>();

	/**
	 * Records a call.
	 * @param route name of the route
	 * @param heldTime time in the slot in nanoseconds
	 */
	public void record(String route, long heldTime) {
		if (this.means.size() >= MAXIMUM_ROUTES && !this.means.containsKey(route)) {
			this.means.clear();
		}
		this.means.merge(route, (double) heldTime, (mean, newest) -> mean + WEIGHT * (newest - mean));
	}

	/**
	 * Returns the mean time of a route.
	 * @param route name of the route
	 * @param unknown time in nanoseconds for a route without calls
	 * @return the time in nanoseconds
	 */
	public long mean(String route, long unknown) {
		Double mean = this.means.get(route);
		return (mean != null) ? (long) mean.doubleValue() : unknown;
	}

}
