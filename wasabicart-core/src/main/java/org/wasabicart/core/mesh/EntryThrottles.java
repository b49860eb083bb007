package org.wasabicart.core.mesh;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.wasabicart.core.mesh.EntryThrottle.ShareConstraint;

/**
 * Throttles of all routes at one entry. While requests of a higher priority are lost, the
 * admitted shares of routes of lower priority that waste requests as well are reduced,
 * the lowest priority first: such routes are assumed to depend on the same overloaded
 * service, directly or through nested calls. Routes that waste no requests are not
 * reduced.
 */
public final class EntryThrottles {

	/**
	 * Admitted share down to which lower priorities are reduced before a higher one is.
	 */
	private static final double LOWER_PRIORITY_SHARE = 0.1;

	private final RandomGenerator random;

	private final Map<String, EntryThrottle> throttles = new HashMap<>();

	/**
	 * Creates the throttles.
	 * @param random random source
	 */
	public EntryThrottles(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Decides on one request.
	 * @param route route of the request
	 * @param now current time in nanoseconds
	 * @return whether the request is admitted
	 */
	public boolean admit(MeshRoute route, long now) {
		return throttle(route).admit(constraint(route.priority(), now), now);
	}

	private ShareConstraint constraint(int priority, long now) {
		boolean higherHasHighLoss = false;
		boolean higherReduced = false;
		boolean lowerReducible = false;
		for (EntryThrottle other : this.throttles.values()) {
			if (other.priority() < priority) {
				higherHasHighLoss |= other.hasHighLoss(now);
				higherReduced |= other.share() < 1;
			}
			else if (other.priority() > priority) {
				lowerReducible |= other.hasWastedRequests() && other.share() > LOWER_PRIORITY_SHARE;
			}
		}
		if (higherHasHighLoss && !lowerReducible) {
			return ShareConstraint.REDUCE;
		}
		return (higherHasHighLoss || higherReduced) ? ShareConstraint.HOLD : ShareConstraint.NONE;
	}

	/**
	 * Records the outcome of an admitted request.
	 * @param route route of the request
	 * @param outcome outcome of the request
	 * @param now current time in nanoseconds
	 */
	public void ended(MeshRoute route, RequestOutcome outcome, long now) {
		throttle(route).ended(outcome, now);
	}

	/**
	 * Returns the share of a route's requests that is admitted.
	 * @param route route
	 * @return the share, above 0 and at most 1
	 */
	public double share(MeshRoute route) {
		return throttle(route).share();
	}

	private EntryThrottle throttle(MeshRoute route) {
		return this.throttles.computeIfAbsent(route.name(), (name) -> new EntryThrottle(route.priority(), this.random));
	}

	/**
	 * Removes the throttles of routes that are no longer configured.
	 * @param names names of the configured routes
	 */
	public void retain(Collection<String> names) {
		this.throttles.keySet().retainAll(names);
	}

}
