package org.wasabicart.node.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.Done;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Sink;

import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;

/**
 * Reads request bodies, passes the calls to a handler, and writes the HTTP responses.
 */
final class CallRunner {

	/** Time in which a request's whole body has to arrive. */
	private static final Duration BODY_TIMEOUT = Duration.ofSeconds(5);

	/** Longest time in which a body that is too large is read and discarded. */
	private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(1);

	private static final int REQUEST_TIMEOUT = 408;

	private static final int CONTENT_TOO_LARGE = 413;

	private final AtomicInteger running = new AtomicInteger();

	private final Materializer materializer;

	private final ResponseWriter writer;

	private final long bodyLimit;

	CallRunner(Materializer materializer, ResponseWriter writer, long bodyLimit) {
		this.materializer = materializer;
		this.writer = writer;
		this.bodyLimit = bodyLimit;
	}

	/**
	 * Returns the number of requests in progress.
	 * @return requests whose response is not yet handed to the HTTP server
	 */
	int running() {
		return this.running.get();
	}

	/**
	 * Reads the body and runs a call. Bodies without a {@code Content-Length} are limited
	 * by the parser of the HTTP server.
	 * @param http request over HTTP
	 * @param scope calls of the connection on which the request arrived
	 * @param call call without its body
	 * @param handler handler of the call
	 * @return the HTTP response
	 */
	CompletionStage<HttpResponse> run(HttpRequest http, ConnectionScope scope, CallRequest call, CallHandler handler) {
		if (http.entity().getContentLengthOption().orElse(0) > this.bodyLimit) {
			return discard(http).handle((done, failure) -> bodyRefusal(CONTENT_TOO_LARGE));
		}
		this.running.incrementAndGet();
		return http.entity()
			.toStrict(BODY_TIMEOUT.toMillis(), Long.MAX_VALUE, this.materializer)
			.thenCompose((body) -> run(withBody(call, body.getData().toArray()), scope, handler))
			.exceptionally(this::bodyRefusal)
			.whenComplete((response, failure) -> this.running.decrementAndGet());
	}

	// Closing a connection with unread bytes resets it, and the client may lose the
	// response.
	private CompletionStage<Done> discard(HttpRequest http) {
		return http.entity()
			.withoutSizeLimit()
			.getDataBytes()
			.takeWithin(DISCARD_TIMEOUT)
			.runWith(Sink.ignore(), this.materializer);
	}

	private CompletionStage<HttpResponse> run(CallRequest call, ConnectionScope scope, CallHandler handler) {
		CompletableFuture<HttpResponse> response = new CompletableFuture<>();
		RunningCall runningCall = new RunningCall(call, scope, response);
		runningCall.start(handler);
		return response;
	}

	private static CallRequest withBody(CallRequest call, byte[] body) {
		return new CallRequest(call.context(), call.service(), call.ticket(), call.toHome(), call.method(), call.path(),
				call.headers(), body);
	}

	private HttpResponse bodyRefusal(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		int status = ResponseWriter.BAD_REQUEST;
		if (cause instanceof EntityStreamSizeException) {
			status = CONTENT_TOO_LARGE;
		}
		else if (cause instanceof TimeoutException) {
			status = REQUEST_TIMEOUT;
		}
		return bodyRefusal(status);
	}

	private HttpResponse bodyRefusal(int status) {
		// Closing the connection keeps the unread rest of the body from being parsed as
		// the next request.
		return this.writer.refusal(status, RefusalReason.BAD_REQUEST, Duration.ZERO)
			.addHeader(Connection.create("close"));
	}

	private final class RunningCall implements CallListener, CallHandle {

		private final CallRequest call;

		private final ConnectionScope scope;

		private final CompletableFuture<HttpResponse> response;

		private volatile CallHandle downstream;

		RunningCall(CallRequest call, ConnectionScope scope, CompletableFuture<HttpResponse> response) {
			this.call = call;
			this.scope = scope;
			this.response = response;
		}

		void start(CallHandler handler) {
			this.downstream = handler.handle(this.call, this);
			if (!this.response.isDone()) {
				this.scope.add(this);
			}
			if (this.response.isDone()) {
				this.scope.remove(this);
			}
		}

		@Override
		public void finished(CallResponse result) {
			this.response.complete(CallRunner.this.writer.write(this.call.context().root().value(), result));
			this.scope.remove(this);
		}

		@Override
		public void cancel() {
			this.downstream.cancel();
		}

	}

}
