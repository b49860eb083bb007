package org.wasabicart.node.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.PeerCall;

/**
 * Guards against unbounded or untruthful retries at one hop.
 */
class RoutedCallTests {

	private static final Outcome LOST = new Outcome.Failed(FailureReason.CONNECTION_LOST, false);

	private static final Outcome COMPLETED = new Outcome.Completed(200);

	private static final long BACKOFF_MILLISECONDS = 10;

	private final List<CallResponse> responses = new ArrayList<>();

	private FakePeers peers = new FakePeers(2, Set.of());

	private PeerCall send(Execution execution, int allowance) {
		return this.peers.handle(FakePeers.call(execution, allowance), this.responses::add);
	}

	@Test
	void failedLookupIsRetriedElsewhereWithinItsAllowance() {
		send(Execution.IDEMPOTENT, 1);
		this.peers.answer(LOST, 0);
		this.peers.pass(BACKOFF_MILLISECONDS);
		Assertions.assertThat(this.peers.sent().get(1).address()).isNotEqualTo(this.peers.sent().get(0).address());
		this.peers.answer(LOST, 0);
		this.peers.pass(BACKOFF_MILLISECONDS);
		Assertions.assertThat(this.peers.sent()).hasSize(2);
		expect(new Outcome.Failed(FailureReason.CONNECTION_LOST, true), 0);
	}

	@Test
	void failureThatWasRetriedBelowIsNotRetriedAgain() {
		send(Execution.IDEMPOTENT, 2);
		this.peers.answer(new Outcome.Failed(FailureReason.BACKEND_ERROR, true), 0);
		this.peers.pass(BACKOFF_MILLISECONDS);
		Assertions.assertThat(this.peers.sent()).hasSize(1);
		expect(new Outcome.Failed(FailureReason.BACKEND_ERROR, true), 2);
	}

	@Test
	void unspentRetriesComeBackWithTheResponse() {
		this.peers = new FakePeers(2, Set.of(new ServiceName("deeper")));
		send(Execution.IDEMPOTENT, 3);
		Assertions.assertThat(this.peers.sent().get(0).allowance()).isEqualTo(2);
		this.peers.answer(COMPLETED, 1);
		expect(COMPLETED, 2);
	}

	@Test
	void lostResponseSpendsWhatWasPassedOnEvenIfItComesLate() {
		this.peers = new FakePeers(2, Set.of(new ServiceName("deeper")));
		send(Execution.IDEMPOTENT, 2);
		this.peers.pass(100);
		Assertions.assertThat(this.peers.sent().get(0).cancelled()).isTrue();
		this.peers.answer(0, COMPLETED, 1);
		this.peers.pass(BACKOFF_MILLISECONDS);
		Assertions.assertThat(this.peers.sent()).hasSize(2);
		Assertions.assertThat(this.peers.sent().get(1).allowance()).isZero();
		this.peers.answer(COMPLETED, 0);
		expect(COMPLETED, 0);
		Assertions.assertThat(this.peers.samples()).hasSize(2);
	}

	@Test
	void refusalAfterALostAttemptIsNotReportedAsNotRun() {
		send(Execution.IDEMPOTENT, 1);
		this.peers.answer(LOST, 0);
		this.peers.pass(BACKOFF_MILLISECONDS);
		this.peers.answer(refused(RefusalReason.QUEUE_FULL), 0);
		expect(new Outcome.Failed(FailureReason.CONNECTION_LOST, true), 0);
	}

	@Test
	void lostOrderIsNotSentAgain() {
		send(Execution.ORDER, 2);
		this.peers.answer(new Outcome.Unknown(FailureReason.CONNECTION_LOST), 0);
		this.peers.pass(BACKOFF_MILLISECONDS);
		Assertions.assertThat(this.peers.sent()).hasSize(1);
		expect(new Outcome.Unknown(FailureReason.CONNECTION_LOST), 2);
	}

	@Test
	void shedOrderIsSentAgain() {
		send(Execution.ORDER, 2);
		this.peers.answer(refused(RefusalReason.SHED), 0);
		this.peers.pass(BACKOFF_MILLISECONDS);
		Assertions.assertThat(this.peers.sent()).hasSize(2);
	}

	@Test
	void drainingMemberCostsNoRetry() {
		send(Execution.ORDER, 0);
		this.peers.answer(refused(RefusalReason.DRAINING), 0);
		Assertions.assertThat(this.peers.sent()).hasSize(2);
		this.peers.answer(refused(RefusalReason.DRAINING), 0);
		Assertions.assertThat(this.peers.sent()).hasSize(2);
		expect(refused(RefusalReason.DRAINING), 0);
	}

	@Test
	void cancellationDuringBackoffEndsTheCall() {
		PeerCall call = send(Execution.IDEMPOTENT, 2);
		this.peers.answer(LOST, 0);
		call.cancel();
		this.peers.pass(1000);
		Assertions.assertThat(this.peers.sent()).hasSize(1);
		expect(new Outcome.Failed(FailureReason.CONNECTION_LOST, true), 1);
	}

	private static Outcome refused(RefusalReason reason) {
		return new Outcome.Refused(reason, Duration.ZERO);
	}

	private void expect(Outcome outcome, int unspent) {
		Assertions.assertThat(this.responses).hasSize(1);
		Assertions.assertThat(this.responses.get(0).outcome()).isEqualTo(outcome);
		Assertions.assertThat(this.responses.get(0).unspentRetryAllowance()).isEqualTo(unspent);
	}

}
