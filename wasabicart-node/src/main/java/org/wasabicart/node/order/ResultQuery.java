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
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.request.Outcomes;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;
import org.wasabicart.wire.generated.link.TicketBar;

/**
 * Queries a peer for the result of an order until the result is available, the peer has
 * restarted or the time limit has passed. A serving node bars the ticket of an order that
 * has not begun, so that a call still in transit cannot begin it afterwards.
 */
final class ResultQuery {

	private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);

	private static final long INITIAL_DELAY_NANOSECONDS = Duration.ofMillis(50).toNanos();

	private static final long MAXIMUM_DELAY_NANOSECONDS = Duration.ofSeconds(1).toNanos();

	// The query continues after the deadline, so that the caller can retrieve the result
	// later.
	private static final long MAXIMUM_OVERDUE_NANOSECONDS = Duration.ofSeconds(60).toNanos();

	/**
	 * The serving node retains tickets for ten minutes. After half of that, for example
	 * because this process was paused, the serving node may have removed the ticket of an
	 * order that ran, so a barred ticket no longer proves that the order did not run.
	 */
	private static final long BAR_VALIDITY_NANOSECONDS = Duration.ofMinutes(5).toNanos();

	private final OrderParts parts;

	private final NodeAddress address;

	private final Optional<InstanceNumber> instance;

	private final long sentNanoseconds;

	private final CallRequest request;

	private final CallListener listener;

	private final ControlRequest controlRequest;

	private long delayNanoseconds = INITIAL_DELAY_NANOSECONDS;

	ResultQuery(OrderParts parts, NodeAddress address, Optional<InstanceNumber> instance, long sentNanoseconds,
			CallRequest request, CallListener listener) {
		this.parts = parts;
		this.address = address;
		this.instance = instance;
		this.sentNanoseconds = sentNanoseconds;
		this.request = request;
		this.listener = listener;
		this.controlRequest = createControlRequest(request);
	}

	private static ControlRequest createControlRequest(CallRequest request) {
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
			.sendControlRequest(this.address, this.controlRequest, QUERY_TIMEOUT)
			.whenComplete((response, failure) -> handleResponse(response, failure));
	}

	private void handleResponse(ControlResponse response, Throwable failure) {
		if (failure != null) {
			retryLater();
			return;
		}
		boolean sameInstance = this.instance.filter((number) -> number.value() == response.getInstance()).isPresent();
		if (!sameInstance) {
			finish(new Outcome.Unknown(
					this.request.toHome() ? FailureReason.HOME_LOST : FailureReason.CONNECTION_LOST));
			return;
		}
		TicketStatus<CallResponse> status = TicketMessages.toStatus(response);
		if (status.state() == TicketState.FINISHED) {
			this.listener.finished(status.result()
				.orElseGet(() -> CallResponse.withoutBody(new Outcome.Failed(FailureReason.RESULT_EXPIRED, false), 0)));
		}
		else if (status.state() == TicketState.BARRED && !this.request.toHome()) {
			finishNotRun();
		}
		else if (status.state() == TicketState.ABSENT) {
			finish(new Outcome.Unknown(FailureReason.RESULT_EXPIRED));
		}
		else {
			retryLater();
		}
	}

	private void finishNotRun() {
		if (this.parts.ticker().nanoseconds() - this.sentNanoseconds < BAR_VALIDITY_NANOSECONDS) {
			this.listener.finished(Outcomes.refused(this.request, RefusalReason.UNREACHABLE, Duration.ZERO));
		}
		else {
			finish(new Outcome.Unknown(FailureReason.CONNECTION_LOST));
		}
	}

	private void retryLater() {
		long overdueNanoseconds = -this.request.context().remainingNanoseconds(this.parts.ticker().nanoseconds());
		if (overdueNanoseconds > MAXIMUM_OVERDUE_NANOSECONDS) {
			finish(new Outcome.Unknown(FailureReason.CONNECTION_LOST));
			return;
		}
		this.parts.scheduler().schedule(this.delayNanoseconds, this::start);
		this.delayNanoseconds = Math.min(MAXIMUM_DELAY_NANOSECONDS, 2 * this.delayNanoseconds);
	}

	private void finish(Outcome outcome) {
		this.listener.finished(CallResponse.withoutBody(outcome, 0));
	}

}
