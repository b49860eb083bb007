package org.wasabicart.core.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import org.wasabicart.core.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays routes of different priority that meet at one service, whose demand is twice its
 * capacity, and checks what callers of each get.
 */
class EntryThrottlesTests {

	private static final int ROUNDS_PER_SECOND = 50;

	private final EntryThrottles throttles = new EntryThrottles(new SplittableRandom(1));

	private final Map<String, Integer> served = new HashMap<>();

	private static MeshRoute route(String name, int priority) {
		return new MeshRoute(name, "h", "/" + name + "/", true, priority, 1, Optional.empty(), Optional.empty(),
				List.of(new ServiceShare(new ServiceName("s"), 1)));
	}

	@Test
	void highestPriorityIsServedAndOthersAreLeftAlone() {
		MeshRoute order = route("order", 0);
		MeshRoute lookup = route("lookup", 2);
		MeshRoute elsewhere = route("elsewhere", 2);
		SplittableRandom random = new SplittableRandom(2);
		int seconds = 20;
		double free = 0;
		for (int round = 0; round < seconds * ROUNDS_PER_SECOND; round++) {
			long now = (round + 1) * (1_000_000_000L / ROUNDS_PER_SECOND);
			free = Math.min(10, free + 1);
			List<MeshRoute> arrivals = random.nextBoolean() ? List.of(order, lookup, elsewhere)
					: List.of(lookup, order, elsewhere);
			for (MeshRoute route : arrivals) {
				if (!this.throttles.admit(route, now)) {
					continue;
				}
				boolean succeeded = route == elsewhere || free >= 1;
				free -= (succeeded && route != elsewhere) ? 1 : 0;
				this.throttles.ended(route, succeeded, now);
				this.served.merge(route.name(), succeeded ? 1 : 0, Integer::sum);
			}
		}
		int demand = seconds * ROUNDS_PER_SECOND;
		assertThat(this.served.get("order")).isGreaterThan(demand * 8 / 10);
		assertThat(this.served.get("elsewhere")).isEqualTo(demand);
	}

}
