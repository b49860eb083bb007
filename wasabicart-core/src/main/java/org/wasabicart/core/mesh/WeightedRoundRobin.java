package org.wasabicart.core.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wasabicart.core.model.ServiceName;

/**
 * Distributes the requests of a route over its services in proportion to their weights,
 * by smooth weighted round robin. An overloaded service keeps its share.
 */
public final class WeightedRoundRobin {

	private final Map<ServiceName, Long> credits = new HashMap<>();

	/**
	 * Chooses the service of the next request.
	 * @param shares services with their weights, at least one
	 * @return the service
	 */
	public ServiceName next(List<ServiceShare> shares) {
		if (shares.size() == 1) {
			return shares.get(0).service();
		}
		this.credits.keySet().retainAll(shares.stream().map(ServiceShare::service).toList());
		long total = 0;
		ServiceShare best = null;
		long bestCredit = Long.MIN_VALUE;
		for (ServiceShare share : shares) {
			total += share.weight();
			long credit = this.credits.merge(share.service(), (long) share.weight(), Long::sum);
			if (share.weight() > 0 && credit > bestCredit) {
				best = share;
				bestCredit = credit;
			}
		}
		if (best == null) {
			return shares.get(0).service();
		}
		this.credits.put(best.service(), bestCredit - total);
		return best.service();
	}

}
