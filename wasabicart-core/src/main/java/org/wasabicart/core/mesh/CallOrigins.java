package org.wasabicart.core.mesh;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns which routes are called by servers rather than by callers outside the graph.
 * Callers are beside the servers of every service; a route that is only requested beside
 * the servers of few services is called by those servers. A call of a running request is
 * worth waiting for, since refusing it wastes all work done for that request.
 */
public final class CallOrigins {

	/** Calls of a route without which nothing is concluded. */
	static final int MINIMUM_CALLS = 40;

	/** Calls after which the counts are halved, so that a changed graph shows. */
	private static final int DECAY_CALLS = 400;

	/** Share of a route's calls below which a service does not count as an origin. */
	private static final double ORIGIN_SHARE = 0.04;

	private final Map<String, Map<String, Integer>> routes = new HashMap<>();

	private final Map<String, Integer> services = new HashMap<>();

	private int calls;

	/**
	 * Records one call.
	 * @param route name of the route
	 * @param callerService service beside the node at which the call entered
	 */
	public void observe(String route, String callerService) {
		Map<String, Integer> counts = this.routes.computeIfAbsent(route, (name) -> new HashMap<>());
		counts.merge(callerService, 1, Integer::sum);
		this.services.merge(callerService, 1, Integer::sum);
		this.calls++;
		if (this.calls >= DECAY_CALLS * this.routes.size()) {
			this.calls /= 2;
			this.routes.values().forEach(CallOrigins::halve);
			this.routes.values().removeIf(Map::isEmpty);
			halve(this.services);
		}
	}

	private static void halve(Map<String, Integer> counts) {
		counts.replaceAll((name, count) -> count / 2);
		counts.values().removeIf((count) -> count == 0);
	}

	/**
	 * Returns who calls a route.
	 * @param route name of the route
	 * @param knownServices number of services beside whose servers callers may be
	 * @return the origin
	 */
	public CallOrigin origin(String route, int knownServices) {
		Map<String, Integer> counts = this.routes.get(route);
		if (counts == null) {
			return CallOrigin.UNKNOWN;
		}
		int total = counts.values().stream().mapToInt(Integer::intValue).sum();
		if (total < MINIMUM_CALLS) {
			return CallOrigin.UNKNOWN;
		}
		long origins = counts.values().stream().filter((count) -> count > ORIGIN_SHARE * total).count();
		return (2 * origins <= Math.max(this.services.size(), knownServices)) ? CallOrigin.NESTED : CallOrigin.OUTSIDE;
	}

}
