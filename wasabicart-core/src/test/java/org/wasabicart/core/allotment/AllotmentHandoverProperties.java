package org.wasabicart.core.allotment;

import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import org.wasabicart.core.workspace.WorkspaceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks in virtual time that the requests of a workspace stay within their bound while
 * the coordinator changes several times within one window, and that callers within the
 * allotment do not notice planned changes.
 */
class AllotmentHandoverProperties {

	private static final double USUAL_SHARE = 1 / 1.6;

	private static final double[] RATES = { 30, 100, 500 };

	private static final double SURGE = 7.5;

	/** Time in seconds for which a stopping node answers, and until it starts again. */
	private static final double STOPPING = 2.6;

	private static final double DOWN = 0.7;

	private static AllotmentFleet fleet(int size, long seed) {
		AllotmentFleet fleet = new AllotmentFleet(size, seed);
		fleet.staggerChoices();
		for (double rate : RATES) {
			fleet.workspace(name(rate).value(), rate);
		}
		return fleet;
	}

	private static AllotmentFleet surgingFleet(int size, long seed) {
		AllotmentFleet fleet = fleet(size, seed);
		for (double rate : RATES) {
			fleet.demand(name(rate), 4, 18, (time) -> rate * USUAL_SHARE * ((time > 7) ? SURGE : 1), fleet::anyNode);
		}
		return fleet;
	}

	private static WorkspaceName name(double rate) {
		return new WorkspaceName("w" + rate);
	}

	private static void assertBound(AllotmentFleet fleet, int size, long seed) {
		fleet.run(18);
		for (double rate : RATES) {
			AllotmentFleet.Usage usage = fleet.usage(name(rate));
			assertThat(usage.mostInWindow(0))
				.describedAs("%d nodes, seed %d, rate %s, %s", size, seed, rate, usage.bases())
				.isLessThanOrEqualTo((int) usage.bound());
		}
	}

	private static void plannedStops(int size, long seed) {
		AllotmentFleet fleet = surgingFleet(size, seed);
		SplittableRandom random = new SplittableRandom(seed);
		for (double when = random.nextDouble(8, 9); when < 15; when += random.nextDouble(0.2, 2)) {
			fleet.plannedRestartOfCoordinator(when, STOPPING, DOWN);
		}
		assertBound(fleet, size, seed);
	}

	// Guards against nodes that spend what the former coordinator has allowed again after
	// each answer of the next one.
	@Property(tries = 10)
	void boundHoldsThroughPlannedStopsOfTheCoordinatorAt6Nodes(@ForAll @LongRange(min = 0, max = 9999) long seed) {
		plannedStops(6, seed);
	}

	@Property(tries = 10)
	void boundHoldsThroughPlannedStopsOfTheCoordinatorAt16Nodes(@ForAll @LongRange(min = 0, max = 9999) long seed) {
		plannedStops(16, seed);
	}

	private static void kills(int size, long seed) {
		AllotmentFleet fleet = surgingFleet(size, seed);
		SplittableRandom random = new SplittableRandom(seed);
		for (double when = random.nextDouble(8, 9); when < 15; when += random.nextDouble(0.2, 2)) {
			fleet.killCoordinator(when, DOWN);
		}
		assertBound(fleet, size, seed);
	}

	// Guards against a coordinator that does not know what was spent under former ones.
	@Property(tries = 10)
	void boundHoldsThroughKillsOfTheCoordinatorAt6Nodes(@ForAll @LongRange(min = 0, max = 9999) long seed) {
		kills(6, seed);
	}

	@Property(tries = 10)
	void boundHoldsThroughKillsOfTheCoordinatorAt16Nodes(@ForAll @LongRange(min = 0, max = 9999) long seed) {
		kills(16, seed);
	}

	private static void rollingRestart(int size, long seed) {
		AllotmentFleet fleet = surgingFleet(size, seed);
		SplittableRandom random = new SplittableRandom(seed);
		double gap = random.nextDouble(0.3, 2);
		for (int i = 0; i < size; i++) {
			fleet.plannedRestart(i, 8 + i * gap, STOPPING, DOWN);
		}
		assertBound(fleet, size, seed);
	}

	@Property(tries = 10)
	void boundHoldsThroughARollingRestartAt12Nodes(@ForAll @LongRange(min = 0, max = 9999) long seed) {
		rollingRestart(12, seed);
	}

	private static void unlistedStart(int size, long seed) {
		AllotmentFleet fleet = surgingFleet(size, seed);
		SplittableRandom random = new SplittableRandom(seed);
		fleet.killAll(random.nextDouble(6, 9), random.nextDouble(0.7, 3), random.nextDouble(0.3, 3));
		assertBound(fleet, size, seed);
	}

	// Guards against nodes that start together, list no others, and each lend the whole
	// allotment.
	@Property(tries = 10)
	void boundHoldsWhenNodesDoNotListEachOtherAt12Nodes(@ForAll @LongRange(min = 0, max = 9999) long seed) {
		unlistedStart(12, seed);
	}

	// Guards against callers within the allotment that are refused since the coordinator
	// changes.
	@Property(tries = 10)
	void callersDoNotNoticePlannedStops(@ForAll @LongRange(min = 0, max = 9999) long seed) {
		for (int size : new int[] { 6, 16 }) {
			AllotmentFleet fleet = fleet(size, seed);
			for (double rate : RATES) {
				fleet.steadyDemand(name(rate), 6, 18, rate * USUAL_SHARE);
			}
			SplittableRandom random = new SplittableRandom(seed);
			for (double when = random.nextDouble(8, 9); when < 15; when += random.nextDouble(1, 3)) {
				fleet.plannedRestartOfCoordinator(when, STOPPING, DOWN);
			}
			fleet.run(18);
			for (double rate : RATES) {
				AllotmentFleet.Usage usage = fleet.usage(name(rate));
				assertThat(usage.allowedRefused())
					.describedAs("%d nodes, seed %d, rate %s, %s", size, seed, rate, usage.bases())
					.isZero();
			}
		}
	}

}
