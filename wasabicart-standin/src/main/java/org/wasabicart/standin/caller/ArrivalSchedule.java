package org.wasabicart.standin.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates the arrivals of a load in advance, so that several systems can be compared
 * under the same load.
 */
public final class ArrivalSchedule {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private ArrivalSchedule() {
	}

	/**
	 * Generates arrivals with exponentially distributed intervals. The kind of each is
	 * chosen at random, in proportion to the shares.
	 * @param seed random seed; the same seed gives the same arrivals
	 * @param phases phases, one after the other
	 * @param kinds kinds with their shares
	 * @return the arrivals, sorted by time
	 */
	public static List<Arrival> create(long seed, List<LoadPhase> phases, List<CallerKind> kinds) {
		SplittableRandom random = new SplittableRandom(seed);
		double totalShare = kinds.stream().mapToDouble(CallerKind::share).sum();
		List<Arrival> arrivals = new ArrayList<>();
		double phaseStartSeconds = 0;
		for (LoadPhase phase : phases) {
			double timeSeconds = phaseStartSeconds + intervalSeconds(random, phase);
			while (timeSeconds < phaseStartSeconds + phase.seconds()) {
				CallerKind kind = chooseKind(kinds, random.nextDouble() * totalShare);
				int number = arrivals.size();
				arrivals
					.add(new Arrival(Math.round(timeSeconds * NANOSECONDS_PER_SECOND), kind, "r" + seed + "-" + number,
							kind.pathPrefix() + "/" + number, random.nextInt(Integer.MAX_VALUE)));
				timeSeconds += intervalSeconds(random, phase);
			}
			phaseStartSeconds += phase.seconds();
		}
		return arrivals;
	}

	private static double intervalSeconds(SplittableRandom random, LoadPhase phase) {
		if (phase.ratePerSecond() <= 0) {
			return phase.seconds();
		}
		return -Math.log(1 - random.nextDouble()) / phase.ratePerSecond();
	}

	private static CallerKind chooseKind(List<CallerKind> kinds, double position) {
		double cumulativeShare = 0;
		for (CallerKind kind : kinds) {
			cumulativeShare += kind.share();
			if (position < cumulativeShare) {
				return kind;
			}
		}
		return kinds.get(kinds.size() - 1);
	}

}
