package org.wasabicart.core.overload;

import java.util.Set;
import java.util.TreeSet;

import org.wasabicart.core.mesh.RequestPriority;

/**
 * Divides the admissible share of all requests among priorities: the least urgent ones
 * are reduced first. The division depends only on the configured priorities, so all
 * entries that know the same admissible share decide alike.
 */
final class PriorityShares {

	/**
	 * Smallest share of a route. A request may make ten calls, so a larger share of the
	 * less urgent ones could fill a service that has lost most of its servers. Requests
	 * that are admitted also keep up the flow of reports.
	 */
	static final double MINIMUM_SHARE = 0.02;

	private final TreeSet<RequestPriority> priorities = new TreeSet<>();

	void priorities(Set<RequestPriority> values) {
		this.priorities.clear();
		this.priorities.addAll(values);
	}

	/**
	 * Returns the share of the requests of a priority that is admitted.
	 * @param priority priority
	 * @param admissibleShare admissible share of all requests
	 * @return the share, at least {@link #MINIMUM_SHARE}
	 */
	double share(RequestPriority priority, double admissibleShare) {
		int moreUrgent = this.priorities.headSet(priority).size();
		int count = Math.max(1, this.priorities.size());
		return Math.max(MINIMUM_SHARE, Math.min(1, admissibleShare * count - moreUrgent));
	}

}
