package org.wasabicart.node.order;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against doubled and falsely refused orders under random schedules of sends,
 * repetitions and faults.
 */
class OrderProperties {

	@Property(tries = 400)
	void ordersRunAtMostOnceUnderRandomSchedules(@ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int orders,
			@ForAll @Size(max = 8) List<Fault> faults) {
		OrderWorld world = new OrderWorld(new Random(seed));
		Random random = world.random;
		for (Fault fault : faults) {
			int home = random.nextInt(2);
			world.after(random.nextInt(6000), () -> world.inject(fault, home));
		}
		for (int i = 0; i < orders; i++) {
			String id = "order-" + i;
			Optional<String> ticket = random.nextBoolean()
					? world.nodes.get(random.nextInt(2)).orders().reserve(OrderWorld.TENANT) : Optional.empty();
			Optional<String> key = ticket.isEmpty() ? Optional.of("key-" + i) : Optional.empty();
			int sends = 1 + random.nextInt(4);
			for (int send = 0; send < sends; send++) {
				int node = random.nextInt(2);
				world.after(random.nextInt(8000), () -> world.order(node, id, ticket, key));
			}
		}
		world.run(900_000);
		assertThat(world.violations).isEmpty();
	}

}
