package org.wasabicart.node.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.UnaryOperator;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.BufferOverflowException;
import org.apache.pekko.stream.StreamTcpException;

import org.wasabicart.core.admission.CallSample;
import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.HttpHeaderField;
import org.wasabicart.node.request.BackendListener;
import org.wasabicart.node.request.RunningContext;
import org.wasabicart.node.request.TaskScheduler;

/**
 * One call to the local backend server.
 */
final class BackendCall implements CallHandle {

	/** Time that an order may run past its deadline, so that its result is not lost. */
	private static final Duration ORDER_OVERRUN = Duration.ofSeconds(60);

	/**
	 * Longest time that a cancelled or timed-out call keeps its admission permit while
	 * the backend server does not respond.
	 */
	private static final Duration CANCELLATION_OVERRUN = Duration.ofSeconds(2);

	private static final byte[] NO_BODY = {};

	private final AtomicBoolean responded = new AtomicBoolean();

	private final AtomicBoolean ended = new AtomicBoolean();

	private final PekkoBackendClient backendClient;

	private final PekkoBackendClient.Pool pool;

	private final CallRequest request;

	private final RunningContext runningContext;

	private final BackendListener listener;

	private final long startNanoseconds;

	private volatile TaskScheduler.ScheduledTask timer;

	BackendCall(PekkoBackendClient backendClient, PekkoBackendClient.Pool pool, CallRequest request,
			RunningContext runningContext, BackendListener listener) {
		this.backendClient = backendClient;
		this.pool = pool;
		this.request = request;
		this.runningContext = runningContext;
		this.listener = listener;
		this.startNanoseconds = backendClient.ticker().nanoseconds();
	}

	void start() {
		long remaining = this.request.context().remainingNanoseconds(this.startNanoseconds);
		long timeoutNanoseconds = isOrder() ? remaining + ORDER_OVERRUN.toNanos() : remaining;
		this.timer = this.backendClient.scheduler().schedule(timeoutNanoseconds, () -> abandon(FailureReason.TIMEOUT));
		HttpRequest http = httpRequest(remaining);
		if (http == null) {
			respond(new Outcome.Refused(RefusalReason.BAD_REQUEST, Duration.ZERO), List.of(), NO_BODY);
			end(CallSample.Result.IGNORED);
			return;
		}
		long bodyTimeoutMilliseconds = Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanoseconds));
		this.backendClient.send(this.pool, http)
			.thenCompose((response) -> read(response, bodyTimeoutMilliseconds))
			.whenComplete(this::completed);
	}

	private boolean isOrder() {
		return this.request.context().execution() == Execution.ORDER;
	}

	private HttpRequest httpRequest(long remainingNanoseconds) {
		List<HttpHeader> headers = new ArrayList<>();
		String contentType = null;
		for (HttpHeaderField field : this.request.headers()) {
			if (field.name().equalsIgnoreCase(HeaderNames.CONTENT_TYPE)) {
				contentType = field.value();
			}
			else {
				headers.add(RawHeader.create(field.name(), field.value()));
			}
		}
		headers.add(RawHeader.create(HeaderNames.CONTEXT, this.runningContext.handle()));
		headers.add(RawHeader.create(HeaderNames.REQUEST_ID, this.request.context().root().value()));
		headers.add(RawHeader.create(HeaderNames.KIND, this.request.context().kind().value()));
		headers.add(RawHeader.create(HeaderNames.TENANT, this.request.context().tenant().value()));
		headers.add(RawHeader.create(HeaderNames.DEADLINE,
				Long.toString(TimeUnit.NANOSECONDS.toMillis(remainingNanoseconds))));
		this.request.ticket().ifPresent((ticket) -> headers.add(RawHeader.create(HeaderNames.TICKET, ticket)));
		return HttpMethods.lookup(this.request.method()).map((method) -> {
			HttpRequest http = HttpRequest.create(this.pool.base() + this.request.path()).withMethod(method);
			return http.addHeaders(headers);
		}).map(withBody(contentType)).orElse(null);
	}

	private UnaryOperator<HttpRequest> withBody(String contentType) {
		if (this.request.body().length == 0) {
			return (http) -> http;
		}
		return (http) -> http.withEntity(HttpEntities.create(
				(contentType != null) ? ResponseWriter.contentType(contentType) : ContentTypes.APPLICATION_OCTET_STREAM,
				this.request.body()));
	}

	private CompletionStage<ReceivedResponse> read(HttpResponse response, long bodyTimeoutMilliseconds) {
		return response.entity()
			.toStrict(bodyTimeoutMilliseconds, this.backendClient.bodyLimit(), this.backendClient.materializer())
			.handle((body, failure) -> new ReceivedResponse(response,
					(failure != null) ? null : body.getData().toArray()));
	}

	private void completed(ReceivedResponse received, Throwable failure) {
		if (failure != null) {
			requestFailed((failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
					: failure);
		}
		else if (received.body() == null) {
			respond(new Outcome.Failed(FailureReason.INCOMPLETE_ANSWER, this.runningContext.nestedFailed()), List.of(),
					NO_BODY);
			end(CallSample.Result.FAILED);
		}
		else {
			responseReceived(received);
		}
	}

	private void requestFailed(Throwable failure) {
		if (neverSent(failure)) {
			respond(new Outcome.Refused(RefusalReason.NO_BACKEND_SERVER, Duration.ofMillis(500)), List.of(), NO_BODY);
			end(CallSample.Result.IGNORED);
			return;
		}
		respond(isOrder() ? new Outcome.Unknown(FailureReason.CONNECTION_LOST)
				: new Outcome.Failed(FailureReason.CONNECTION_LOST, this.runningContext.nestedFailed()), List.of(),
				NO_BODY);
		end(CallSample.Result.FAILED);
	}

	// Returns whether no byte of the request was sent: the connection could not be
	// opened, or the pool's queue was full. Any other failure may have occurred
	// after the request was sent.
	private static boolean neverSent(Throwable failure) {
		if (failure instanceof BufferOverflowException) {
			return true;
		}
		return failure instanceof StreamTcpException
				&& String.valueOf(failure.getMessage()).startsWith("Tcp command [Connect(");
	}

	private void responseReceived(ReceivedResponse received) {
		int status = received.response().status().intValue();
		Optional<String> context = context(received.response());
		boolean shed = isShed(received.response());
		// A server may send a response twice. The pool assigns the second one to the call
		// that uses the connection next. Only a shed response that names this call states
		// that it has not run.
		if (context.isPresent() ? !context.get().equals(this.runningContext.handle()) : shed) {
			respond(isOrder() ? new Outcome.Unknown(FailureReason.INCOMPLETE_ANSWER)
					: new Outcome.Failed(FailureReason.INCOMPLETE_ANSWER, this.runningContext.nestedFailed()),
					List.of(), NO_BODY);
			end(CallSample.Result.FAILED);
		}
		else if (shed) {
			respond(new Outcome.Refused(RefusalReason.SHED, Duration.ofMillis(100)), List.of(), NO_BODY);
			end(CallSample.Result.SHED);
		}
		else if (status == 500 || status >= 502 && status <= 504) {
			respond(new Outcome.Failed(FailureReason.BACKEND_ERROR, this.runningContext.nestedFailed()), List.of(),
					NO_BODY);
			end(this.runningContext.nestedFailed() ? CallSample.Result.IGNORED : CallSample.Result.FAILED);
		}
		else {
			respond(new Outcome.Completed(status), forwardedHeaders(received.response()), received.body());
			end(CallSample.Result.RESPONDED);
		}
	}

	private static Optional<String> context(HttpResponse response) {
		return response.getHeader(HeaderNames.CONTEXT).map((header) -> header.value().strip());
	}

	private static boolean isShed(HttpResponse response) {
		return response.status().intValue() == 503 && response.getHeader(HeaderNames.SHED)
			.filter((header) -> header.value().strip().equals("not-run"))
			.isPresent();
	}

	private static List<HttpHeaderField> forwardedHeaders(HttpResponse response) {
		List<HttpHeaderField> fields = new ArrayList<>();
		for (HttpHeader header : response.getHeaders()) {
			if (HeaderNames.isForwarded(header.name())) {
				fields.add(new HttpHeaderField(header.name(), header.value()));
			}
		}
		fields.add(new HttpHeaderField(HeaderNames.CONTENT_TYPE, response.entity().getContentType().toString()));
		return fields;
	}

	/**
	 * Cancels the call unless it is an order, since an order that was sent may have run.
	 */
	@Override
	public void cancel() {
		if (!isOrder()) {
			abandon(FailureReason.CANCELLED);
		}
	}

	private void abandon(FailureReason reason) {
		boolean first = respond(isOrder() ? new Outcome.Unknown(reason)
				: new Outcome.Failed(reason, this.runningContext.nestedFailed()), List.of(), NO_BODY);
		if (first && !this.ended.get()) {
			this.timer = this.backendClient.scheduler()
				.schedule(CANCELLATION_OVERRUN.toNanos(), () -> end(CallSample.Result.FAILED));
			HttpRequest cancellation = HttpRequest
				.DELETE(this.pool.base() + "/wasabicart/cancel/" + this.runningContext.handle());
			this.backendClient.send(this.pool, cancellation).whenComplete((response, failure) -> {
				if (response != null) {
					response.discardEntityBytes(this.backendClient.materializer());
				}
			});
		}
	}

	private boolean respond(Outcome outcome, List<HttpHeaderField> headers, byte[] body) {
		if (!this.responded.compareAndSet(false, true)) {
			return false;
		}
		this.timer.cancel();
		this.backendClient.contexts().close(this.runningContext);
		int unspent = (outcome instanceof Outcome.Refused) ? this.request.context().retryAllowance()
				: this.runningContext.allowance().available();
		this.listener
			.responseReceived(new CallResponse(outcome, unspent, this.runningContext.thresholds(), headers, body));
		return true;
	}

	private void end(CallSample.Result result) {
		if (this.ended.compareAndSet(false, true)) {
			this.timer.cancel();
			this.backendClient.callEnded();
			long elapsed = this.backendClient.ticker().nanoseconds() - this.startNanoseconds;
			this.listener
				.callEnded(new CallSample(Math.max(0, elapsed - this.runningContext.nestedNanoseconds()), result));
		}
	}

	/**
	 * Response of the backend server.
	 *
	 * @param response status and header fields
	 * @param body whole body, or {@code null} if it could not be read
	 */
	private record ReceivedResponse(HttpResponse response, byte[] body) {

	}

}
