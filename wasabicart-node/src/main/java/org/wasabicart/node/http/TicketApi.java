package org.wasabicart.node.http;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

import org.wasabicart.core.model.ConfigurationSnapshot;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.TenantName;
import org.wasabicart.core.order.TicketState;
import org.wasabicart.core.order.TicketStatus;
import org.wasabicart.node.ConfigurationHolder;
import org.wasabicart.node.order.OrderService;
import org.wasabicart.node.peer.CallResponse;

/**
 * Reserves tickets ({@code POST /wasabicart/tickets}) and returns the state or result of
 * their orders ({@code GET /wasabicart/tickets/{ticket}}).
 */
public final class TicketApi implements OperatorApi {

	private static final String PATH = "/wasabicart/tickets";

	private static final TenantName DEFAULT_TENANT = new TenantName("default");

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final int CREATED = 201;

	private static final int ACCEPTED = 202;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final OrderService orders;

	private final ConfigurationHolder configuration;

	private final ResponseWriter writer;

	/**
	 * Creates the interface.
	 * @param orders orders of this node
	 * @param configuration configuration in force, for the tenants
	 * @param random random source for jitter
	 */
	public TicketApi(OrderService orders, ConfigurationHolder configuration, RandomGenerator random) {
		this.orders = Objects.requireNonNull(orders, "orders");
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.writer = new ResponseWriter(random);
	}

	@Override
	public Optional<CompletionStage<HttpResponse>> handle(HttpRequest request) {
		String path = request.getUri().path();
		boolean reservation = path.equals(PATH) && request.method().equals(HttpMethods.POST);
		boolean query = path.startsWith(PATH + "/") && request.method().equals(HttpMethods.GET);
		if (!reservation && !query) {
			return Optional.empty();
		}
		try {
			TenantName tenant = tenant(request);
			return Optional.of(reservation ? CompletableFuture.completedFuture(reserve(tenant))
					: this.orders.queryStatus(path.substring(PATH.length() + 1), tenant).thenApply(this::result));
		}
		catch (BadRequestException ex) {
			return Optional.of(CompletableFuture.completedFuture(this.writer.refusal(ex)));
		}
	}

	private TenantName tenant(HttpRequest request) throws BadRequestException {
		ConfigurationSnapshot snapshot = this.configuration.current();
		RequestHeaders headers = new RequestHeaders(request);
		Optional<TenantName> tenant = headers.value(HeaderNames.TENANT, TenantName::new);
		boolean tenantsConfigured = !snapshot.tenants().isEmpty();
		if (tenantsConfigured && tenant.flatMap(snapshot::tenant).isEmpty()) {
			headers.addFinding(HeaderNames.TENANT, "must name a configured tenant");
		}
		headers.throwFindings();
		return tenant.orElse(DEFAULT_TENANT);
	}

	private HttpResponse reserve(TenantName tenant) {
		return this.orders.reserve(tenant)
			.map((ticket) -> json(CREATED, new Reserved(ticket)))
			.orElseGet(() -> this.writer.refusal(SERVICE_UNAVAILABLE, RefusalReason.TABLE_FULL, RETRY_AFTER));
	}

	private HttpResponse result(TicketStatus<CallResponse> status) {
		if (status.result().isPresent()) {
			return orderResponse(status.result().get());
		}
		if (status.state() == TicketState.FINISHED) {
			return orderResponse(CallResponse.withoutBody(new Outcome.Failed(FailureReason.RESULT_EXPIRED, false), 0));
		}
		return switch (status.state()) {
			case RESERVED, RUNNING -> json(ACCEPTED, new State(status.state().code()));
			case UNDETERMINED -> json(SERVICE_UNAVAILABLE, new State(status.state().code()));
			default -> this.writer.refusal(ResponseWriter.BAD_REQUEST, RefusalReason.TICKET_REJECTED, Duration.ZERO);
		};
	}

	// The response has no request id, because another request ran the order. The writer
	// needs an id, so a placeholder is written and removed.
	private HttpResponse orderResponse(CallResponse response) {
		return this.writer.write("ticket", response).removeHeader(HeaderNames.REQUEST_ID);
	}

	private static HttpResponse json(int status, Object value) {
		return HttpResponse.create()
			.withStatus(status)
			.withEntity(ContentTypes.APPLICATION_JSON, ResponseWriter.json(value));
	}

	private record Reserved(String ticket) {

	}

	private record State(String state) {

	}

}
