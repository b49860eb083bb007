package org.wasabicart.experiment.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Random schedule of the faults of one run, determined by the seed.
 */
final class FaultSchedule {

	private static final double FIRST_START_SECONDS = 1;

	private static final double MINIMUM_GAP_SECONDS = 0.4;

	private static final double GAP_SPREAD_SECONDS = 1.6;

	private static final double MINIMUM_DURATION_SECONDS = 0.3;

	private static final double DURATION_SPREAD_SECONDS = 1.7;

	private FaultSchedule() {
	}

	/**
	 * Creates a schedule.
	 * @param seed seed
	 * @param seconds duration of the load
	 * @param nodes number of nodes
	 * @return the faults in the order of their start times; several can be active
	 * concurrently
	 */
	static List<PlannedFault> create(long seed, double seconds, int nodes) {
		Random random = new Random(seed);
		List<PlannedFault> faults = new ArrayList<>();
		FaultKind[] kinds = FaultKind.values();
		for (double start = FIRST_START_SECONDS; start < seconds - DURATION_SPREAD_SECONDS; start += MINIMUM_GAP_SECONDS
				+ random.nextDouble() * GAP_SPREAD_SECONDS) {
			faults.add(new PlannedFault(kinds[random.nextInt(kinds.length)], random.nextInt(nodes), start,
					MINIMUM_DURATION_SECONDS + random.nextDouble() * DURATION_SPREAD_SECONDS));
		}
		return faults;
	}

}
