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
 * Orders of one node: the filters of the request path, the transport that asks for
 * results after a broken link, and the tickets of callers.
 * <p>
 * Example: <pre>
 * OrderService orders = new OrderService(parts);
 * node parts: entry filters = orders.homeFilter(), serving filters = orders.servingFilter(),
 * transport of the routing = orders.transport(), control requests = orders.answer(request)
 * </pre>
 */
public final class OrderService {

	private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);

	private final OrderParts parts;

	private final TicketTable<CallResponse> home;

	private final TicketTable<CallResponse> serving;

	private final HomeFilter homeFilter;

	private final ServingFilter servingFilter;

	private final OrderTransport transport;

	/**
	 * Creates the handling of orders.
	 * @param parts dependencies
	 */
	public OrderService(OrderParts parts) {
		this.parts = parts;
		this.home = new TicketTable<>(parts.homeLimits(), TicketMessages::weight, parts.ticker());
		this.serving = new TicketTable<>(parts.servingLimits(), TicketMessages::weight, parts.ticker());
		this.transport = new OrderTransport(parts);
		this.homeFilter = new HomeFilter(parts, this.home, this.transport);
		this.servingFilter = new ServingFilter(this.serving);
	}

	/**
	 * Returns the filter for the entry side. It has to come before filters that refuse,
	 * so that a ticket whose order already ran is not answered as not run.
	 * @return filter
	 */
	public RequestFilter homeFilter() {
		return this.homeFilter;
	}

	/**
	 * Returns the filter for the serving side, before admission.
	 * @return filter
	 */
	public RequestFilter servingFilter() {
		return this.servingFilter;
	}

	/**
	 * Returns a transport that asks the peer what became of an order when its response
	 * was lost.
	 * @return transport to be used for calls
	 */
	public PeerTransport transport() {
		return this.transport;
	}

	/**
	 * Reserves a ticket at this node.
	 * @param tenant tenant
	 * @return the ticket, or empty if the table is full or the node drains
	 */
	public Optional<String> reserve(TenantName tenant) {
		if (this.parts.draining().getAsBoolean()) {
			return Optional.empty();
		}
		String ticket = Ticket.create(this.parts.self(), this.parts.instance(), this.parts.random()).toString();
		return this.home.reserve(ticket, tenant) ? Optional.of(ticket) : Optional.empty();
	}

	/**
	 * Returns what is known of a ticket, from its home node.
	 * @param text ticket
	 * @param tenant tenant that asks
	 * @return state and result; {@code UNDETERMINED} if the home node does not answer,
	 * and {@code ABSENT} if it does not know the ticket or the ticket is another tenant's
	 */
	public CompletableFuture<TicketStatus<CallResponse>> result(String text, TenantName tenant) {
		Optional<Ticket> ticket = Ticket.parse(text);
		if (ticket.isEmpty()) {
			return CompletableFuture.completedFuture(status(TicketState.ABSENT));
		}
		if (ticket.get().home().equals(this.parts.self())) {
			boolean own = this.home.tenant(text).filter(tenant::equals).isPresent();
			return CompletableFuture.completedFuture(own ? this.home.status(text) : lost());
		}
		Optional<Member> member = this.transport.member(ticket.get().home());
		if (member.isEmpty()) {
			return CompletableFuture.completedFuture(lost());
		}
		ControlRequest request = ControlRequest.newBuilder().setTicketQuery(text).build();
		return this.transport.ask(member.get().address(), request, QUERY_TIMEOUT)
			.handle((response, failure) -> (failure != null) ? status(TicketState.UNDETERMINED)
					: remoteStatus(response, ticket.get(), tenant));
	}

	private static TicketStatus<CallResponse> remoteStatus(ControlResponse response, Ticket ticket, TenantName tenant) {
		boolean own = response.getInstance() == ticket.instance().value()
				&& response.getTicketTenant().equals(tenant.value());
		return own ? TicketMessages.status(response) : lost();
	}

	private static TicketStatus<CallResponse> status(TicketState state) {
		return new TicketStatus<>(state, Optional.empty());
	}

	// The ticket's table is gone or has forgotten it: whether the order ran is not known.
	private static TicketStatus<CallResponse> lost() {
		return new TicketStatus<>(TicketState.ABSENT,
				Optional.of(CallResponse.withoutBody(new Outcome.Unknown(FailureReason.HOME_LOST), 0)));
	}

	/**
	 * Answers a control request about tickets.
	 * @param request request
	 * @return the response, or empty if the request is about something else
	 */
	public Optional<ControlResponse> answer(ControlRequest request) {
		return switch (request.getContentCase()) {
			case TICKET_QUERY -> {
				String ticket = request.getTicketQuery();
				ControlResponse.Builder response = TicketMessages.response(this.home.status(ticket));
				this.home.tenant(ticket).ifPresent((tenant) -> response.setTicketTenant(tenant.value()));
				yield Optional.of(response.setInstance(this.parts.instance().value()).build());
			}
			case TICKET_BAR -> Optional.of(bar(request));
			default -> Optional.empty();
		};
	}

	private ControlResponse bar(ControlRequest request) {
		TicketStatus<CallResponse> status;
		try {
			status = this.serving.bar(request.getTicketBar().getTicket(),
					new TenantName(request.getTicketBar().getTenant()));
		}
		catch (IllegalArgumentException ex) {
			status = status(TicketState.UNDETERMINED);
		}
		return TicketMessages.response(status).setInstance(this.parts.instance().value()).build();
	}

	/**
	 * Drops expired tickets. To be called every second.
	 */
	public void tick() {
		this.home.tick();
		this.serving.tick();
	}

	/**
	 * Returns the number of tickets that this node holds as home and as serving node.
	 * @return the number
	 */
	public int tickets() {
		return this.home.size() + this.serving.size();
	}

}
