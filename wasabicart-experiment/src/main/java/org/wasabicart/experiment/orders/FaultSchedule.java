package org.wasabicart.experiment.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Faults of one run, determined by the seed.
 */
final class FaultSchedule {

	private static final double FIRST_SECONDS = 1;

	private static final double SHORTEST_GAP_SECONDS = 0.4;

	private static final double GAP_SPREAD_SECONDS = 1.6;

	private static final double SHORTEST_SECONDS = 0.3;

	private static final double SPREAD_SECONDS = 1.7;

	private FaultSchedule() {
	}

	/**
	 * Creates a schedule.
	 * @param seed seed
	 * @param seconds length of the load
	 * @param nodes number of nodes
	 * @return the faults in the order of their begin; several can be active at once
	 */
	static List<PlannedFault> create(long seed, double seconds, int nodes) {
		Random random = new Random(seed);
		List<PlannedFault> faults = new ArrayList<>();
		FaultKind[] kinds = FaultKind.values();
		for (double at = FIRST_SECONDS; at < seconds - SPREAD_SECONDS; at += SHORTEST_GAP_SECONDS
				+ random.nextDouble() * GAP_SPREAD_SECONDS) {
			faults.add(new PlannedFault(kinds[random.nextInt(kinds.length)], random.nextInt(nodes), at,
					SHORTEST_SECONDS + random.nextDouble() * SPREAD_SECONDS));
		}
		return faults;
	}

}
