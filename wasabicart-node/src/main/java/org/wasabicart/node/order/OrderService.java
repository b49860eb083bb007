package org.wasabicart.node.order;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.TenantName;
import org.wasabicart.core.order.Ticket;
import org.wasabicart.core.order.TicketState;
import org.wasabicart.core.order.TicketStatus;
import org.wasabicart.core.order.TicketTable;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.node.request.RequestFilter;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Handles the orders of one node: provides the filters of the request path and the
 * transport that queries the result of an order after its link broke, and issues tickets
 * to callers.
 * <p>
 * A node uses {@link #homeFilter()} on its entry side, {@link #servingFilter()} on its
 * serving side and {@link #transport()} for routing, and passes control requests to
 * {@link #handleControlRequest(ControlRequest)}.
 */
public final class OrderService {

	private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);

	private final OrderParts parts;

	private final TicketTable<CallResponse> homeTickets;

	private final TicketTable<CallResponse> servingTickets;

	private final HomeFilter homeFilter;

	private final ServingFilter servingFilter;

	private final OrderTransport transport;

	/**
	 * Creates a service.
	 * @param parts dependencies
	 */
	public OrderService(OrderParts parts) {
		this.parts = parts;
		this.homeTickets = new TicketTable<>(parts.homeLimits(), TicketMessages::sizeBytes, parts.ticker());
		this.servingTickets = new TicketTable<>(parts.servingLimits(), TicketMessages::sizeBytes, parts.ticker());
		this.transport = new OrderTransport(parts);
		this.homeFilter = new HomeFilter(parts, this.homeTickets, this.transport);
		this.servingFilter = new ServingFilter(this.servingTickets);
	}

	/**
	 * Returns the filter for the entry side. It must precede the filters that refuse
	 * requests, so that a request whose order already ran is not refused as not run.
	 * @return the filter
	 */
	public RequestFilter homeFilter() {
		return this.homeFilter;
	}

	/**
	 * Returns the filter for the serving side. It must precede admission.
	 * @return the filter
	 */
	public RequestFilter servingFilter() {
		return this.servingFilter;
	}

	/**
	 * Returns a transport that queries the peer for the result of an order when the
	 * response was lost.
	 * @return the transport to send calls with
	 */
	public PeerTransport transport() {
		return this.transport;
	}

	/**
	 * Reserves a ticket at this node.
	 * @param tenant tenant that owns the ticket
	 * @return the ticket, or empty if the table is full or the node is draining
	 */
	public Optional<String> reserve(TenantName tenant) {
		if (this.parts.draining().getAsBoolean()) {
			return Optional.empty();
		}
		String ticket = Ticket.create(this.parts.self(), this.parts.instance(), this.parts.random()).toString();
		return this.homeTickets.reserve(ticket, tenant) ? Optional.of(ticket) : Optional.empty();
	}

	/**
	 * Queries the home node of a ticket for the ticket's status.
	 * @param ticketText text form of the ticket
	 * @param tenant tenant that requests the status
	 * @return state and result; {@code UNDETERMINED} if the home node does not respond,
	 * and {@code ABSENT} if it does not know the ticket or the ticket belongs to another
	 * tenant
	 */
	public CompletableFuture<TicketStatus<CallResponse>> queryStatus(String ticketText, TenantName tenant) {
		Optional<Ticket> ticket = Ticket.parse(ticketText);
		if (ticket.isEmpty()) {
			return CompletableFuture.completedFuture(withoutResult(TicketState.ABSENT));
		}
		if (ticket.get().home().equals(this.parts.self())) {
			boolean ownedByTenant = this.homeTickets.tenant(ticketText).filter(tenant::equals).isPresent();
			return CompletableFuture
				.completedFuture(ownedByTenant ? this.homeTickets.status(ticketText) : absentWithUnknownOutcome());
		}
		Optional<Member> member = this.transport.findMember(ticket.get().home());
		if (member.isEmpty()) {
			return CompletableFuture.completedFuture(absentWithUnknownOutcome());
		}
		ControlRequest request = ControlRequest.newBuilder().setTicketQuery(ticketText).build();
		return this.transport.sendControlRequest(member.get().address(), request, QUERY_TIMEOUT)
			.handle((response, failure) -> (failure != null) ? withoutResult(TicketState.UNDETERMINED)
					: remoteStatus(response, ticket.get(), tenant));
	}

	private static TicketStatus<CallResponse> remoteStatus(ControlResponse response, Ticket ticket, TenantName tenant) {
		boolean ownedByTenant = response.getInstance() == ticket.instance().value()
				&& response.getTicketTenant().equals(tenant.value());
		return ownedByTenant ? TicketMessages.toStatus(response) : absentWithUnknownOutcome();
	}

	private static TicketStatus<CallResponse> withoutResult(TicketState state) {
		return new TicketStatus<>(state, Optional.empty());
	}

	// The home node has restarted or no longer has the ticket, so the order may have run.
	private static TicketStatus<CallResponse> absentWithUnknownOutcome() {
		return new TicketStatus<>(TicketState.ABSENT,
				Optional.of(CallResponse.withoutBody(new Outcome.Unknown(FailureReason.HOME_LOST), 0)));
	}

	/**
	 * Handles a control request about tickets.
	 * @param request control request
	 * @return the response, or empty if the request is not about tickets
	 */
	public Optional<ControlResponse> handleControlRequest(ControlRequest request) {
		return switch (request.getContentCase()) {
			case TICKET_QUERY -> {
				String ticket = request.getTicketQuery();
				ControlResponse.Builder response = TicketMessages.toResponse(this.homeTickets.status(ticket));
				this.homeTickets.tenant(ticket).ifPresent((tenant) -> response.setTicketTenant(tenant.value()));
				yield Optional.of(response.setInstance(this.parts.instance().value()).build());
			}
			case TICKET_BAR -> Optional.of(bar(request));
			default -> Optional.empty();
		};
	}

	private ControlResponse bar(ControlRequest request) {
		TicketStatus<CallResponse> status;
		try {
			status = this.servingTickets.bar(request.getTicketBar().getTicket(),
					new TenantName(request.getTicketBar().getTenant()));
		}
		catch (IllegalArgumentException ex) {
			status = withoutResult(TicketState.UNDETERMINED);
		}
		return TicketMessages.toResponse(status).setInstance(this.parts.instance().value()).build();
	}

	/**
	 * Removes expired tickets. Must be called once per second.
	 */
	public void tick() {
		this.homeTickets.tick();
		this.servingTickets.tick();
	}

	/**
	 * Returns the number of tickets that this node holds as home node and as serving
	 * node.
	 * @return the number
	 */
	public int ticketCount() {
		return this.homeTickets.size() + this.servingTickets.size();
	}

}
