package org.wasabicart.node.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.wasabicart.core.model.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost, doubled and falsely refused orders under each pair of faults, with
 * each way to send an order.
 */
class OrderFaultPairTests {

	private static final int SCHEDULES = 40;

	static Stream<Arguments> pairs() {
		List<Arguments> pairs = new ArrayList<>();
		for (Fault first : Fault.values()) {
			for (Fault second : Fault.values()) {
				if (first.compareTo(second) <= 0) {
					pairs.add(Arguments.of(first, second));
				}
			}
		}
		return pairs.stream();
	}

	@ParameterizedTest
	@MethodSource("pairs")
	void ordersRunAtMostOnceAndRefusalsAreTrue(Fault first, Fault second) {
		for (int seed = 0; seed < SCHEDULES; seed++) {
			OrderWorld world = new OrderWorld(new Random(seed));
			String ticket = world.nodes.get(0).orders().reserve(OrderWorld.TENANT).orElseThrow();
			world.after(world.random.nextInt(30), () -> world.inject(first, 0));
			world.after(world.random.nextInt(1500), () -> world.inject(second, 0));
			world.order(0, "unnamed", Optional.empty(), Optional.empty());
			world.order(0, "ticketed", Optional.of(ticket), Optional.empty());
			world.order(0, "keyed", Optional.empty(), Optional.of("key"));
			// The same orders arrive again, elsewhere and later.
			world.after(world.random.nextInt(3000), () -> {
				world.order(1, "ticketed", Optional.of(ticket), Optional.empty());
				world.order(1, "keyed", Optional.empty(), Optional.of("key"));
			});
			world.run(900_000);
			assertThat(world.violations).as("seed %d", seed).isEmpty();
		}
	}

	@Test
	void ordersCompleteWithoutFaults() {
		OrderWorld world = new OrderWorld(new Random(1));
		String ticket = world.nodes.get(0).orders().reserve(OrderWorld.TENANT).orElseThrow();
		world.order(0, "unnamed", Optional.empty(), Optional.empty());
		world.order(1, "ticketed", Optional.of(ticket), Optional.empty());
		world.order(1, "ticketed", Optional.of(ticket), Optional.empty());
		world.order(0, "keyed", Optional.empty(), Optional.of("key"));
		world.order(1, "keyed", Optional.empty(), Optional.of("key"));
		world.run(1000);
		Outcome completed = new Outcome.Completed(200);
		assertThat(world.violations).isEmpty();
		assertThat(world.outcomes.get("unnamed")).containsExactly(completed);
		assertThat(world.outcomes.get("ticketed")).containsExactly(completed, completed);
		assertThat(world.outcomes.get("keyed")).containsExactly(completed, completed);
	}

	@Test
	void lostResponseIsRetrievedFromTheServingNode() {
		OrderWorld world = new OrderWorld(new Random(1));
		world.responsesToLose = 1;
		world.order(0, "unnamed", Optional.empty(), Optional.empty());
		world.run(8000);
		assertThat(world.outcomes.get("unnamed")).containsExactly(new Outcome.Completed(200));
	}

	@Test
	void lostRequestIsBarredAndRunsElsewhere() {
		OrderWorld world = new OrderWorld(new Random(1));
		world.requestsToLose = 1;
		world.order(0, "unnamed", Optional.empty(), Optional.empty());
		world.run(20_000);
		assertThat(world.outcomes.get("unnamed")).containsExactly(new Outcome.Completed(200));
		assertThat(world.violations).isEmpty();
	}

	@Test
	void newInstanceAnswersOldTicketsWithUnknown() {
		OrderWorld world = new OrderWorld(new Random(1));
		String ticket = world.nodes.get(0).orders().reserve(OrderWorld.TENANT).orElseThrow();
		world.nodes.get(0).crash(10);
		world.run(100);
		world.order(0, "own", Optional.of(ticket), Optional.empty());
		world.order(1, "forwarded", Optional.of(ticket), Optional.empty());
		world.run(1000);
		assertThat(world.outcomes.get("own").get(0)).isInstanceOf(Outcome.Unknown.class);
		assertThat(world.outcomes.get("forwarded").get(0)).isInstanceOf(Outcome.Unknown.class);
		assertThat(world.runs).isEmpty();
	}

	@Test
	void keyIsRefusedWhileTheStoreIsDown() {
		OrderWorld world = new OrderWorld(new Random(1));
		world.store.down(10_000);
		world.order(0, "keyed", Optional.empty(), Optional.of("key"));
		world.run(5000);
		assertThat(world.outcomes.get("keyed").get(0)).isInstanceOf(Outcome.Refused.class);
	}

	@Test
	void ownClaimIsRecognisedAfterALostResponse() {
		OrderWorld world = new OrderWorld(new Random(1));
		world.store.loseResponse();
		world.order(0, "keyed", Optional.empty(), Optional.of("key"));
		world.run(5000);
		assertThat(world.outcomes.get("keyed")).containsExactly(new Outcome.Completed(200));
	}

}
