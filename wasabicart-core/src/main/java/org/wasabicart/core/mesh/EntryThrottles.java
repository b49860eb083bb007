package org.wasabicart.core.mesh;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.wasabicart.core.mesh.EntryThrottle.ShareConstraint;

/**
 * Throttles of all routes and workspace priorities at one entry. While requests of a
 * higher priority are lost, the admitted shares of routes of lower priority that waste
 * requests as well are reduced, the lowest priority first: such routes are assumed to
 * depend on the same overloaded service, directly or through nested calls. Routes that
 * waste no requests are not reduced.
 */
public final class EntryThrottles {

	/**
	 * Admitted share down to which lower priorities are reduced before a higher one is.
	 */
	private static final double LOWER_PRIORITY_SHARE = 0.1;

	private final RandomGenerator random;

	private final Map<Key, EntryThrottle> throttles = new HashMap<>();

	/**
	 * Creates the throttles.
	 * @param random random source
	 */
	public EntryThrottles(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Decides on one request without a workspace.
	 * @param route route of the request
	 * @param now current time in nanoseconds
	 * @return whether the request is admitted
	 */
	public boolean admit(MeshRoute route, long now) {
		return admit(route, RequestPriority.UNKNOWN_WORKSPACE, now);
	}

	/**
	 * Decides on one request.
	 * @param route route of the request
	 * @param workspacePriority priority of its workspace
	 * @param now current time in nanoseconds
	 * @return whether the request is admitted
	 */
	public boolean admit(MeshRoute route, int workspacePriority, long now) {
		EntryThrottle throttle = throttle(route, workspacePriority);
		// The number of throttles grows with that of the workspace priorities, so the
		// others are only examined if the share may change.
		return throttle.admit(throttle.updateDue(now) ? constraint(throttle.priority(), now) : ShareConstraint.NONE,
				now);
	}

	private ShareConstraint constraint(RequestPriority priority, long now) {
		boolean higherHasHighLoss = false;
		boolean higherReduced = false;
		boolean lowerReducible = false;
		for (EntryThrottle other : this.throttles.values()) {
			int order = other.priority().compareTo(priority);
			if (order < 0) {
				higherHasHighLoss |= other.hasHighLoss(now);
				higherReduced |= other.share() < 1;
			}
			else if (order > 0) {
				lowerReducible |= other.hasWastedRequests() && other.share() > LOWER_PRIORITY_SHARE;
			}
		}
		if (higherHasHighLoss && !lowerReducible) {
			return ShareConstraint.REDUCE;
		}
		return (higherHasHighLoss || higherReduced) ? ShareConstraint.HOLD : ShareConstraint.NONE;
	}

	/**
	 * Records the outcome of an admitted request without a workspace.
	 * @param route route of the request
	 * @param outcome outcome of the request
	 * @param now current time in nanoseconds
	 */
	public void ended(MeshRoute route, RequestOutcome outcome, long now) {
		ended(route, RequestPriority.UNKNOWN_WORKSPACE, outcome, now);
	}

	/**
	 * Records the outcome of an admitted request.
	 * @param route route of the request
	 * @param workspacePriority priority of its workspace
	 * @param outcome outcome of the request
	 * @param now current time in nanoseconds
	 */
	public void ended(MeshRoute route, int workspacePriority, RequestOutcome outcome, long now) {
		throttle(route, workspacePriority).ended(outcome, now);
	}

	/**
	 * Returns the share of a route's requests without a workspace that is admitted.
	 * @param route route
	 * @return the share, above 0 and at most 1
	 */
	public double share(MeshRoute route) {
		return share(route, RequestPriority.UNKNOWN_WORKSPACE);
	}

	/**
	 * Returns the share of a route's requests of one workspace priority that is admitted.
	 * @param route route
	 * @param workspacePriority priority of the workspaces
	 * @return the share, above 0 and at most 1
	 */
	public double share(MeshRoute route, int workspacePriority) {
		return throttle(route, workspacePriority).share();
	}

	private EntryThrottle throttle(MeshRoute route, int workspacePriority) {
		return this.throttles.computeIfAbsent(new Key(route.name(), workspacePriority),
				(key) -> new EntryThrottle(new RequestPriority(workspacePriority, route.priority()), this.random));
	}

	/**
	 * Removes the throttles of routes and workspace priorities that are no longer
	 * configured.
	 * @param names names of the configured routes
	 * @param workspacePriorities priorities of the configured workspaces
	 */
	public void retain(Collection<String> names, Collection<Integer> workspacePriorities) {
		this.throttles.keySet()
			.removeIf((key) -> !names.contains(key.route())
					|| key.workspacePriority() != RequestPriority.UNKNOWN_WORKSPACE
							&& !workspacePriorities.contains(key.workspacePriority()));
	}

	private record Key(String route, int workspacePriority) {

	}

}
