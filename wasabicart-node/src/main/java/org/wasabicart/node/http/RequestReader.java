package org.wasabicart.node.http;

import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.apache.pekko.http.javadsl.model.HttpRequest;

import org.wasabicart.configuration.Finding;
import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.ConfigurationSnapshot;
import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.RequestId;
import org.wasabicart.core.model.RequestKind;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.model.TenantName;
import org.wasabicart.node.ConfigurationHolder;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.request.ContextTable;
import org.wasabicart.node.request.RunningContext;

/**
 * Converts HTTP requests to validated calls: root requests of callers, and nested calls
 * of the local backend server.
 */
final class RequestReader {

	/** Tenant of callers that name none, while no tenants are configured. */
	private static final TenantName DEFAULT_TENANT = new TenantName("default");

	private final Ticker ticker;

	private final ConfigurationHolder configuration;

	private final ContextTable contexts;

	private final RandomGenerator random;

	RequestReader(Ticker ticker, ConfigurationHolder configuration, ContextTable contexts, RandomGenerator random) {
		this.ticker = ticker;
		this.configuration = configuration;
		this.contexts = contexts;
		this.random = random;
	}

	/**
	 * Reads a caller's request.
	 * @param request request over HTTP
	 * @param arrivalNanoseconds ticker time at which its headers arrived
	 * @return the root request, without its body
	 * @throws BadRequestException if the request is invalid, with all findings
	 */
	RootRequest root(HttpRequest request, long arrivalNanoseconds) throws BadRequestException {
		ConfigurationSnapshot snapshot = this.configuration.current();
		RequestHeaders headers = new RequestHeaders(request);
		Optional<RequestKind> kind = kind(headers, snapshot, request.getUri().path());
		Optional<TenantName> tenant = tenant(headers, snapshot);
		Optional<RequestId> id = headers.value(HeaderNames.REQUEST_ID, RequestId::new);
		Optional<Long> deadlineMilliseconds = headers.value(HeaderNames.DEADLINE, RequestHeaders::milliseconds);
		Optional<String> ticket = headers.value(HeaderNames.TICKET, RequestHeaders::ticket);
		headers.value(HeaderNames.IDEMPOTENCY_KEY, RequestHeaders::idempotencyKey);
		headers.throwFindings();
		RequestKind requestKind = kind.orElseThrow();
		long timeoutNanoseconds = requestKind.deadline().toNanos();
		if (deadlineMilliseconds.isPresent()) {
			timeoutNanoseconds = Math.min(timeoutNanoseconds,
					TimeUnit.MILLISECONDS.toNanos(deadlineMilliseconds.get()));
		}
		RequestContext context = new RequestContext(id.orElseGet(this::newId), requestKind.name(), tenant.orElseThrow(),
				requestKind.importance(), requestKind.execution(), arrivalNanoseconds + timeoutNanoseconds,
				requestKind.retryAllowance(), 0);
		boolean repeatable = id.isPresent() && requestKind.execution() == Execution.IDEMPOTENT;
		CallRequest call = new CallRequest(context, requestKind.entryService(), ticket, false, request.method().name(),
				path(request), headers.forwarded(), new byte[0]);
		return new RootRequest(call, repeatable);
	}

	private static Optional<RequestKind> kind(RequestHeaders headers, ConfigurationSnapshot snapshot, String path) {
		Optional<KindName> name = headers.value(HeaderNames.KIND, KindName::new);
		Optional<RequestKind> kind = name.isPresent() ? snapshot.kind(name.get()) : snapshot.kindOfPath(path);
		if (kind.isEmpty()) {
			headers.addFinding(HeaderNames.KIND,
					name.isPresent() ? "is not a configured kind" : "is required, since the path identifies no kind");
		}
		return kind;
	}

	private static Optional<TenantName> tenant(RequestHeaders headers, ConfigurationSnapshot snapshot) {
		Optional<TenantName> tenant = headers.value(HeaderNames.TENANT, TenantName::new);
		if (snapshot.tenants().isEmpty()) {
			return Optional.of(tenant.orElse(DEFAULT_TENANT));
		}
		if (tenant.isEmpty()) {
			headers.addFinding(HeaderNames.TENANT, "is required");
		}
		else if (snapshot.tenant(tenant.get()).isEmpty()) {
			headers.addFinding(HeaderNames.TENANT, "is not a configured tenant");
		}
		return tenant;
	}

	/**
	 * Reads a nested call.
	 * @param request request over HTTP
	 * @param arrivalNanoseconds ticker time at which its headers arrived
	 * @return the nested call, without its body and retry allowance
	 * @throws BadRequestException if the request is invalid, with all findings
	 */
	NestedRequest nested(HttpRequest request, long arrivalNanoseconds) throws BadRequestException {
		ConfigurationSnapshot snapshot = this.configuration.current();
		RequestHeaders headers = new RequestHeaders(request);
		Optional<ServiceName> service = headers.value(HeaderNames.SERVICE, ServiceName::new);
		Optional<String> handle = headers.value(HeaderNames.CONTEXT, (text) -> text);
		Optional<Long> deadlineMilliseconds = headers.value(HeaderNames.DEADLINE, RequestHeaders::milliseconds);
		if (service.isEmpty() || snapshot.service(service.get()).isEmpty()) {
			headers.addFinding(HeaderNames.SERVICE, "must name a configured service");
		}
		headers.throwFindings();
		RunningContext parent = handle.flatMap(this.contexts::find)
			.orElseThrow(() -> new BadRequestException(RefusalReason.CONTEXT_UNKNOWN,
					List.of(new Finding(HeaderNames.CONTEXT, "must be the handle of a running call"))));
		RequestContext parentContext = parent.context();
		long deadlineNanoseconds = parentContext.deadlineNanoseconds();
		if (deadlineMilliseconds.isPresent()) {
			deadlineNanoseconds = Math.min(deadlineNanoseconds,
					arrivalNanoseconds + TimeUnit.MILLISECONDS.toNanos(deadlineMilliseconds.get()));
		}
		RequestContext context = new RequestContext(parentContext.root(), parentContext.kind(), parentContext.tenant(),
				parentContext.importance(), parentContext.execution(), deadlineNanoseconds, 0,
				parentContext.depth() + 1);
		CallRequest call = new CallRequest(context, service.orElseThrow(), Optional.empty(), false,
				request.method().name(), path(request), headers.forwarded(), new byte[0]);
		return new NestedRequest(call, parent);
	}

	private static String path(HttpRequest request) {
		return request.getUri().toRelative().toString();
	}

	private RequestId newId() {
		HexFormat hex = HexFormat.of();
		return new RequestId(hex.toHexDigits(this.random.nextLong()) + hex.toHexDigits(this.random.nextLong()));
	}

	long now() {
		return this.ticker.nanoseconds();
	}

	/**
	 * Root request of a caller.
	 *
	 * @param call call without its body
	 * @param repeatable whether the caller may repeat the request under the id that the
	 * caller gave it
	 */
	record RootRequest(CallRequest call, boolean repeatable) {

	}

	/**
	 * Nested call of the local backend server.
	 *
	 * @param call call without its body and retry allowance
	 * @param parent running call that it belongs to
	 */
	record NestedRequest(CallRequest call, RunningContext parent) {

	}

}
