package org.wasabicart.standin.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Creates arrivals ahead of a run, so that several systems can be driven by the same
 * load.
 */
public final class ArrivalSchedule {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private ArrivalSchedule() {
	}

	/**
	 * Creates arrivals with exponentially distributed intervals.
	 * @param seed seed; the same seed gives the same arrivals
	 * @param phases phases, one after the other
	 * @param kinds kinds with their shares
	 * @return the arrivals in the order of their time
	 */
	public static List<Arrival> create(long seed, List<LoadPhase> phases, List<CallerKind> kinds) {
		SplittableRandom random = new SplittableRandom(seed);
		double shares = kinds.stream().mapToDouble(CallerKind::share).sum();
		List<Arrival> arrivals = new ArrayList<>();
		double phaseStart = 0;
		for (LoadPhase phase : phases) {
			double time = phaseStart + interval(random, phase);
			while (time < phaseStart + phase.seconds()) {
				CallerKind kind = choose(kinds, random.nextDouble() * shares);
				int number = arrivals.size();
				arrivals.add(new Arrival(Math.round(time * NANOSECONDS_PER_SECOND), kind, "r" + seed + "-" + number,
						kind.pathPrefix() + "/" + number, random.nextInt(Integer.MAX_VALUE)));
				time += interval(random, phase);
			}
			phaseStart += phase.seconds();
		}
		return arrivals;
	}

	private static double interval(SplittableRandom random, LoadPhase phase) {
		if (phase.ratePerSecond() <= 0) {
			return phase.seconds();
		}
		return -Math.log(1 - random.nextDouble()) / phase.ratePerSecond();
	}

	private static CallerKind choose(List<CallerKind> kinds, double position) {
		double end = 0;
		for (CallerKind kind : kinds) {
			end += kind.share();
			if (position < end) {
				return kind;
			}
		}
		return kinds.get(kinds.size() - 1);
	}

}
