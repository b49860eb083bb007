package org.wasabicart.core.mesh;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns which routes are called by backend servers rather than by callers outside the
 * call graph. Callers outside the graph use the nodes of every service, so a route whose
 * calls enter at the nodes of few services is called by the servers of these services. A
 * nested call is worth waiting for, since refusing it wastes all work that was done for
 * the request that makes it.
 */
public final class CallOrigins {

	/** Calls of a route below which its origin is unknown. */
	static final int MINIMUM_CALLS = 40;

	/**
	 * Calls per route after which all counts are halved, to follow a changed call graph.
	 */
	private static final int DECAY_CALLS = 400;

	/** Share of a route's calls above which a service counts as a caller. */
	private static final double MINIMUM_CALLER_SHARE = 0.04;

	private final Map<String, Map<String, Integer>> callsByRoute = new HashMap<>();

	private final Map<String, Integer> callsByService = new HashMap<>();

	private int calls;

	/**
	 * Records one call.
	 * @param route name of the route
	 * @param callerService service of the node at which the call entered
	 */
	public void observe(String route, String callerService) {
		Map<String, Integer> counts = this.callsByRoute.computeIfAbsent(route, (name) -> new HashMap<>());
		counts.merge(callerService, 1, Integer::sum);
		this.callsByService.merge(callerService, 1, Integer::sum);
		this.calls++;
		if (this.calls >= DECAY_CALLS * this.callsByRoute.size()) {
			this.calls /= 2;
			this.callsByRoute.values().forEach(CallOrigins::halve);
			this.callsByRoute.values().removeIf(Map::isEmpty);
			halve(this.callsByService);
		}
	}

	private static void halve(Map<String, Integer> counts) {
		counts.replaceAll((name, count) -> count / 2);
		counts.values().removeIf((count) -> count == 0);
	}

	/**
	 * Returns the kind of caller that sends the calls of a route.
	 * @param route name of the route
	 * @param knownServices number of services whose nodes callers may use
	 * @return the origin
	 */
	public CallOrigin origin(String route, int knownServices) {
		Map<String, Integer> counts = this.callsByRoute.get(route);
		if (counts == null) {
			return CallOrigin.UNKNOWN;
		}
		int total = counts.values().stream().mapToInt(Integer::intValue).sum();
		if (total < MINIMUM_CALLS) {
			return CallOrigin.UNKNOWN;
		}
		long callingServices = counts.values().stream().filter((count) -> count > MINIMUM_CALLER_SHARE * total).count();
		return (2 * callingServices <= Math.max(this.callsByService.size(), knownServices)) ? CallOrigin.NESTED
				: CallOrigin.OUTSIDE;
	}

}
