package org.wasabicart.node.order;

import java.time.Duration;
import java.util.Optional;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.order.Ticket;
import org.wasabicart.core.order.TicketState;
import org.wasabicart.core.order.TicketStatus;
import org.wasabicart.core.order.TicketTable;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.HttpHeaderField;
import org.wasabicart.node.request.Outcomes;
import org.wasabicart.node.request.RequestFilter;

/**
 * Handles orders at the entry and home node: gives a ticket to an order that has none,
 * runs the order of a ticket at most once, and forwards an order to the home node that
 * its ticket names. An order is never cancelled, because it may have begun.
 */
final class HomeFilter implements RequestFilter {

	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private static final CallHandle NOT_CANCELLABLE = () -> {
	};

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final OrderParts parts;

	private final TicketTable<CallResponse> tickets;

	private final OrderTransport transport;

	private final TicketWaiters waiters = new TicketWaiters();

	HomeFilter(OrderParts parts, TicketTable<CallResponse> tickets, OrderTransport transport) {
		this.parts = parts;
		this.tickets = tickets;
		this.transport = transport;
	}

	@Override
	public CallHandle handle(CallRequest request, CallListener listener, CallHandler next) {
		if (request.context().execution() != Execution.ORDER) {
			return next.handle(request, listener);
		}
		Optional<String> key = idempotencyKey(request);
		if (request.ticket().isPresent()) {
			handleWithTicket(request, listener, next);
		}
		else if (key.isPresent()) {
			handleWithKey(request, key.get(), listener, next);
		}
		else {
			handleWithoutTicketOrKey(request, listener, next);
		}
		return NOT_CANCELLABLE;
	}

	// A nested call can carry the key of the root request, which does not identify the
	// nested call.
	private static Optional<String> idempotencyKey(CallRequest request) {
		if (request.context().depth() > 0) {
			return Optional.empty();
		}
		return request.headers()
			.stream()
			.filter((field) -> field.name().equalsIgnoreCase(IDEMPOTENCY_KEY))
			.map(HttpHeaderField::value)
			.findFirst();
	}

	private void handleWithoutTicketOrKey(CallRequest request, CallListener listener, CallHandler next) {
		String ticket = newTicket();
		if (!this.tickets.reserve(ticket, request.context().tenant())) {
			listener.finished(Outcomes.refused(request, RefusalReason.TABLE_FULL, RETRY_AFTER));
			return;
		}
		this.tickets.begin(ticket, request.context().tenant());
		next.handle(withTicket(request, ticket), (response) -> {
			// The caller does not know the ticket, so no one will query its result.
			this.tickets.removeRunning(ticket);
			listener.finished(response);
		});
	}

	private void handleWithKey(CallRequest request, String key, CallListener listener, CallHandler next) {
		String ticket = newTicket();
		if (!this.tickets.reserve(ticket, request.context().tenant())) {
			listener.finished(Outcomes.refused(request, RefusalReason.TABLE_FULL, RETRY_AFTER));
			return;
		}
		this.parts.keyClaimer()
			.claim(request.context(), key, ticket, this.parts.members().get().size())
			.whenComplete((claim, failure) -> {
				if (failure != null) {
					// The store may have recorded the claim although its response was
					// lost. The ticket stays reserved, so that a later request with the
					// same key can run the order.
					listener.finished(Outcomes.refused(request, RefusalReason.STORE_UNAVAILABLE, RETRY_AFTER));
				}
				else if (claim.ticket().isEmpty()) {
					listener.finished(Outcomes.refused(request, claim.refusal(), RETRY_AFTER));
				}
				else {
					handleWithTicket(withTicket(request, claim.ticket().get()), listener, next);
				}
			});
	}

	private void handleWithTicket(CallRequest request, CallListener listener, CallHandler next) {
		String ticketText = request.ticket().orElseThrow();
		Optional<Ticket> ticket = Ticket.parse(ticketText);
		if (ticket.isEmpty()) {
			listener.finished(Outcomes.refused(request, RefusalReason.TICKET_REJECTED, Duration.ZERO));
		}
		else if (ticket.get().home().equals(this.parts.self())
				&& ticket.get().instance().equals(this.parts.instance())) {
			handleAtHome(request, ticketText, listener, next);
		}
		else if (ticket.get().home().equals(this.parts.self()) || request.toHome()) {
			listener.finished(unknown(FailureReason.HOME_LOST));
		}
		else {
			forward(request, ticket.get(), listener);
		}
	}

	private void handleAtHome(CallRequest request, String ticket, CallListener listener, CallHandler next) {
		if (this.parts.draining().getAsBoolean() && this.tickets.status(ticket).state() == TicketState.RESERVED) {
			listener.finished(Outcomes.refused(request, RefusalReason.DRAINING, RETRY_AFTER));
			return;
		}
		switch (this.tickets.begin(ticket, request.context().tenant())) {
			case STARTED -> next.handle(copy(request, request.ticket(), false),
					(response) -> finishOrder(ticket, response, listener));
			case RUNNING -> await(ticket, listener);
			case FINISHED -> listener.finished(retainedResponse(ticket));
			case ABSENT -> listener.finished(unknown(FailureReason.RESULT_EXPIRED));
			default -> listener.finished(Outcomes.refused(request, RefusalReason.TICKET_REJECTED, Duration.ZERO));
		}
	}

	private void finishOrder(String ticket, CallResponse response, CallListener listener) {
		if (response.outcome() instanceof Outcome.Refused) {
			this.tickets.release(ticket);
		}
		else {
			this.tickets.finish(ticket, response);
		}
		listener.finished(response);
		this.waiters.finished(ticket, response);
	}

	private void await(String ticket, CallListener listener) {
		if (!this.waiters.add(ticket, listener)) {
			listener.finished(unknown(FailureReason.CONNECTION_LOST));
			return;
		}
		// The order may have finished before the listener was added.
		TicketStatus<CallResponse> status = this.tickets.status(ticket);
		if (status.state() != TicketState.RUNNING && this.waiters.remove(ticket, listener)) {
			listener.finished((status.state() == TicketState.FINISHED) ? retainedResponse(ticket)
					: unknown(FailureReason.CONNECTION_LOST));
		}
	}

	private CallResponse retainedResponse(String ticket) {
		return this.tickets.status(ticket)
			.result()
			.orElseGet(() -> CallResponse.withoutBody(new Outcome.Failed(FailureReason.RESULT_EXPIRED, false), 0));
	}

	private void forward(CallRequest request, Ticket ticket, CallListener listener) {
		Optional<Member> home = this.transport.findMember(ticket.home());
		if (home.isEmpty() || !home.get().instance().equals(ticket.instance())) {
			listener.finished(unknown(FailureReason.HOME_LOST));
			return;
		}
		CallRequest forwarded = copy(request, request.ticket(), true);
		this.transport.send(home.get().address(), forwarded,
				(response) -> listener.finished(replaceUnprovenRefusal(response)));
	}

	// An earlier request with the ticket may have run the order. A refusal that the home
	// node did not base on its ticket table does not rule that out, so it is replaced by
	// an unknown outcome.
	private static CallResponse replaceUnprovenRefusal(CallResponse response) {
		if (response.outcome() instanceof Outcome.Refused refused) {
			return switch (refused.reason()) {
				case UNREACHABLE, EXPIRED, CANCELLED, TABLE_FULL -> unknown(FailureReason.HOME_LOST);
				default -> response;
			};
		}
		return response;
	}

	private String newTicket() {
		return Ticket.create(this.parts.self(), this.parts.instance(), this.parts.random()).toString();
	}

	private static CallRequest withTicket(CallRequest request, String ticket) {
		return copy(request, Optional.of(ticket), request.toHome());
	}

	private static CallRequest copy(CallRequest request, Optional<String> ticket, boolean toHome) {
		return new CallRequest(request.context(), request.service(), ticket, toHome, request.method(), request.path(),
				request.headers(), request.body());
	}

	private static CallResponse unknown(FailureReason reason) {
		return CallResponse.withoutBody(new Outcome.Unknown(reason), 0);
	}

}
