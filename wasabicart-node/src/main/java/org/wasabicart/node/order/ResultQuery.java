package org.wasabicart.node.order;

import java.time.Duration;
import java.util.Optional;

import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.order.TicketState;
import org.wasabicart.core.order.TicketStatus;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.PeerCallListener;
import org.wasabicart.node.request.Outcomes;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;
import org.wasabicart.wire.generated.link.TicketBar;

/**
 * Asks a peer what became of an order until it knows, or until the peer's instance is
 * gone or the time is over. The serving node bars an order that has not begun, so that
 * the answer "not run" stays true.
 */
final class ResultQuery {

	private static final Duration ASK_TIMEOUT = Duration.ofSeconds(1);

	private static final long FIRST_PAUSE_NANOSECONDS = Duration.ofMillis(50).toNanos();

	private static final long LONGEST_PAUSE_NANOSECONDS = Duration.ofSeconds(1).toNanos();

	// Time after the deadline in which the result is still awaited for later retrieval.
	private static final long OVERRUN_NANOSECONDS = Duration.ofSeconds(60).toNanos();

	/**
	 * The serving node keeps tickets for ten minutes. An answer that comes later than
	 * half of that, such as after a pause of this process, may be about a forgotten
	 * ticket.
	 */
	private static final long TRUSTED_NANOSECONDS = Duration.ofMinutes(5).toNanos();

	private final OrderParts parts;

	private final NodeAddress address;

	private final Optional<InstanceNumber> instance;

	private final long sent;

	private final CallRequest request;

	private final PeerCallListener listener;

	private final ControlRequest question;

	private long pause = FIRST_PAUSE_NANOSECONDS;

	ResultQuery(OrderParts parts, NodeAddress address, Optional<InstanceNumber> instance, long sent,
			CallRequest request, PeerCallListener listener) {
		this.parts = parts;
		this.address = address;
		this.instance = instance;
		this.sent = sent;
		this.request = request;
		this.listener = listener;
		this.question = question(request);
	}

	private static ControlRequest question(CallRequest request) {
		String ticket = request.ticket().orElseThrow();
		if (request.toHome()) {
			return ControlRequest.newBuilder().setTicketQuery(ticket).build();
		}
		return ControlRequest.newBuilder()
			.setTicketBar(TicketBar.newBuilder().setTicket(ticket).setTenant(request.context().tenant().value()))
			.build();
	}

	void start() {
		this.parts.transport()
			.ask(this.address, this.question, ASK_TIMEOUT)
			.whenComplete((response, failure) -> answered(response, failure));
	}

	private void answered(ControlResponse response, Throwable failure) {
		if (failure != null) {
			again();
			return;
		}
		boolean sameInstance = this.instance.filter((number) -> number.value() == response.getInstance()).isPresent();
		if (!sameInstance) {
			finish(new Outcome.Unknown(
					this.request.toHome() ? FailureReason.HOME_LOST : FailureReason.CONNECTION_LOST));
			return;
		}
		TicketStatus<CallResponse> status = TicketMessages.status(response);
		if (status.state() == TicketState.FINISHED) {
			this.listener.finished(status.result()
				.orElseGet(() -> CallResponse.withoutBody(new Outcome.Failed(FailureReason.RESULT_EXPIRED, false), 0)));
		}
		else if (status.state() == TicketState.BARRED && !this.request.toHome()) {
			notRun();
		}
		else if (status.state() == TicketState.ABSENT) {
			finish(new Outcome.Unknown(FailureReason.RESULT_EXPIRED));
		}
		else {
			again();
		}
	}

	private void notRun() {
		if (this.parts.ticker().nanoseconds() - this.sent < TRUSTED_NANOSECONDS) {
			this.listener.finished(Outcomes.refused(this.request, RefusalReason.UNREACHABLE, Duration.ZERO));
		}
		else {
			finish(new Outcome.Unknown(FailureReason.CONNECTION_LOST));
		}
	}

	private void again() {
		long overdue = -this.request.context().remainingNanoseconds(this.parts.ticker().nanoseconds());
		if (overdue > OVERRUN_NANOSECONDS) {
			finish(new Outcome.Unknown(FailureReason.CONNECTION_LOST));
			return;
		}
		this.parts.scheduler().schedule(this.pause, this::start);
		this.pause = Math.min(LONGEST_PAUSE_NANOSECONDS, 2 * this.pause);
	}

	private void finish(Outcome outcome) {
		this.listener.finished(CallResponse.withoutBody(outcome, 0));
	}

}
