package org.wasabicart.node.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.assertj.core.api.Assertions;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.node.peer.CallResponse;

/**
 * Guards the bound on attempts and the single response for any course of events at one
 * hop, with lost, late and duplicated responses.
 */
class RoutedCallProperties {

	@Property(tries = 500)
	void attemptsStayWithinTheAllowanceAndOneResponseIsGiven(@ForAll @IntRange(max = 4) int allowance,
			@ForAll boolean leaf, @ForAll @Size(max = 30) List<@IntRange(max = 5) Integer> events) {
		FakePeers peers = new FakePeers(3, leaf ? Set.of() : Set.of(new ServiceName("deeper")));
		List<CallResponse> responses = new ArrayList<>();
		peers.handle(FakePeers.call(Execution.IDEMPOTENT, allowance), responses::add);
		for (int event : events) {
			int passedOn = peers.sent().get(peers.sent().size() - 1).allowance();
			switch (event) {
				case 0 -> peers.answer(new Outcome.Failed(FailureReason.BACKEND_ERROR, false), passedOn);
				case 1 -> peers.answer(new Outcome.Refused(RefusalReason.SHED, Duration.ZERO), 0);
				case 2 -> peers.answer(0, new Outcome.Failed(FailureReason.TIMEOUT, false), allowance);
				case 3 -> peers.answer(new Outcome.Failed(FailureReason.CONNECTION_LOST, false), 0);
				default -> peers.pass(60);
			}
		}
		peers.pass(2000);
		Assertions.assertThat(peers.sent().size()).isLessThanOrEqualTo(1 + allowance);
		Assertions.assertThat(responses.size()).isLessThanOrEqualTo(1);
		if (!responses.isEmpty()) {
			int spent = peers.sent().size() - 1;
			Assertions.assertThat(responses.get(0).unspentRetryAllowance()).isBetween(0, allowance - spent);
		}
	}

}
