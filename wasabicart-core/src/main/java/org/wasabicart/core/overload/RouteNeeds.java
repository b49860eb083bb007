package org.wasabicart.core.overload;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.wasabicart.core.model.ServiceName;

/**
 * Services that the requests of each route need, directly or through nested calls, as far
 * as replies to these requests have named them. Only services that are or were short are
 * named.
 */
final class RouteNeeds {

	/**
	 * Time for which a service is remembered although replies report it as not needed:
	 * nodes learn separately what the requests of a route call.
	 */
	private static final long FORGET_AFTER = TimeUnit.SECONDS.toNanos(10);

	private final Map<String, Map<ServiceName, Long>> lastNeeded = new HashMap<>();

	void record(String route, List<Shortage> reports, long now) {
		for (Shortage report : reports) {
			if (report.needed()) {
				this.lastNeeded.computeIfAbsent(route, (name) -> new HashMap<>()).put(report.service(), now);
			}
			else {
				Map<ServiceName, Long> services = this.lastNeeded.get(route);
				if (services != null) {
					services.computeIfPresent(report.service(),
							(service, time) -> (now - time > FORGET_AFTER) ? null : time);
				}
			}
		}
	}

	Set<ServiceName> services(String route) {
		return this.lastNeeded.getOrDefault(route, Map.of()).keySet();
	}

	Set<ServiceName> services(Set<String> routes) {
		Set<ServiceName> services = new HashSet<>();
		routes.forEach((route) -> services.addAll(services(route)));
		return services;
	}

}
