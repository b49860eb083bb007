package org.wasabicart.core.mesh;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.wasabicart.core.mesh.EntryThrottle.Pressure;

/**
 * Throttles of all routes at one entry. While requests of a higher priority fail, routes
 * that fail as well are cut, the lowest priority first: they meet at a service that is
 * short of room, whatever lies between. Routes that do not fail are left alone.
 */
public final class EntryThrottles {

	/** Share of a lower priority that is cut before a higher one yields. */
	private static final double LOWER_SHARE = 0.1;

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
	 * @return whether the request is let through
	 */
	public boolean admit(MeshRoute route, long now) {
		return throttle(route).admit(pressure(route.priority(), now), now);
	}

	private Pressure pressure(int priority, long now) {
		boolean higherHurt = false;
		boolean higherCut = false;
		boolean lowerLeft = false;
		for (EntryThrottle other : this.throttles.values()) {
			if (other.priority() < priority) {
				higherHurt |= other.hurt(now);
				higherCut |= other.share() < 1;
			}
			else if (other.priority() > priority) {
				lowerLeft |= other.involved() && other.share() > LOWER_SHARE;
			}
		}
		if (higherHurt && !lowerLeft) {
			return Pressure.YIELD;
		}
		return (higherHurt || higherCut) ? Pressure.HOLD : Pressure.NONE;
	}

	/**
	 * Records the end of a request that was let through.
	 * @param route route of the request
	 * @param end how it ended
	 * @param now current time in nanoseconds
	 */
	public void ended(MeshRoute route, RequestEnd end, long now) {
		throttle(route).ended(end, now);
	}

	/**
	 * Returns the share of a route's requests that is let through.
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
	 * Forgets routes that are no longer configured.
	 * @param names names of the routes that are
	 */
	public void retain(Collection<String> names) {
		this.throttles.keySet().retainAll(names);
	}

}
