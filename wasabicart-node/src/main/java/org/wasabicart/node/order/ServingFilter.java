package org.wasabicart.node.order;

import java.time.Duration;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.order.BeginResult;
import org.wasabicart.core.order.TicketTable;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.request.Outcomes;
import org.wasabicart.node.request.RequestFilter;

/**
 * Runs an order at most once at this serving node, and retains its result for the home
 * node.
 */
final class ServingFilter implements RequestFilter {

	private static final CallHandle ENDED_CALL = () -> {
	};

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final TicketTable<CallResponse> tickets;

	ServingFilter(TicketTable<CallResponse> tickets) {
		this.tickets = tickets;
	}

	@Override
	public CallHandle handle(CallRequest request, CallListener listener, CallHandler next) {
		if (request.context().execution() != Execution.ORDER || request.ticket().isEmpty()) {
			return next.handle(request, listener);
		}
		String ticket = request.ticket().get();
		BeginResult beginResult = this.tickets.beginUnreserved(ticket, request.context().tenant());
		if (beginResult != BeginResult.STARTED) {
			listener.finished(responseWithoutRunning(request, beginResult));
			return ENDED_CALL;
		}
		return next.handle(request, (response) -> {
			if (response.outcome() instanceof Outcome.Refused) {
				this.tickets.removeRunning(ticket);
			}
			else {
				this.tickets.finish(ticket, response);
			}
			listener.finished(response);
		});
	}

	private CallResponse responseWithoutRunning(CallRequest request, BeginResult beginResult) {
		return switch (beginResult) {
			case FULL -> Outcomes.refused(request, RefusalReason.TABLE_FULL, RETRY_AFTER);
			case FINISHED -> this.tickets.status(request.ticket().orElseThrow())
				.result()
				.orElseGet(() -> failed(FailureReason.RESULT_EXPIRED));
			// A refusal of this second request would claim that the order did not run,
			// but the first request is running it.
			case RUNNING -> CallResponse.withoutBody(new Outcome.Unknown(FailureReason.CONNECTION_LOST), 0);
			default -> Outcomes.refused(request, RefusalReason.TICKET_REJECTED, Duration.ZERO);
		};
	}

	private static CallResponse failed(FailureReason reason) {
		return CallResponse.withoutBody(new Outcome.Failed(reason, false), 0);
	}

}
