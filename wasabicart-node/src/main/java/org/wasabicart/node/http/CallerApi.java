package org.wasabicart.node.http;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.stream.Materializer;

import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.retry.ClientRequestTable;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.node.LocalServerHolder;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.request.Outcomes;

/**
 * HTTP interface for callers. Requests for paths that the node serves itself go to the
 * operator interface.
 */
final class CallerApi implements HttpApi {

	private static final Duration RETRY_AFTER = Duration.ofMillis(500);

	private final RequestReader reader;

	private final CallRunner runner;

	private final ResponseWriter writer;

	private final LocalServerHolder localServer;

	private final ClientRequestTable requests;

	private final CallHandler entry;

	private final OperatorApi operatorApi;

	private final Materializer materializer;

	CallerApi(RequestReader reader, CallRunner runner, ResponseWriter writer, LocalServerHolder localServer,
			ClientRequestTable requests, CallHandler entry, OperatorApi operatorApi, Materializer materializer) {
		this.reader = reader;
		this.runner = runner;
		this.writer = writer;
		this.localServer = localServer;
		this.requests = requests;
		this.entry = entry;
		this.operatorApi = operatorApi;
		this.materializer = materializer;
	}

	@Override
	public CompletionStage<HttpResponse> handle(HttpRequest request, ConnectionScope scope) {
		Optional<CompletionStage<HttpResponse>> operatorResponse = this.operatorApi.handle(request);
		if (operatorResponse.isPresent()) {
			request.discardEntityBytes(this.materializer);
			return operatorResponse.get();
		}
		if (this.localServer.draining() && !mayHaveRunBefore(request)) {
			return discard(request, this.writer.refusal(503, RefusalReason.DRAINING, RETRY_AFTER)
				.addHeader(Connection.create("close")));
		}
		try {
			RequestReader.RootRequest root = this.reader.root(request, this.reader.now());
			CallHandler handler = root.repeatable() ? this::runRepeatable : this.entry;
			return this.runner.run(request, scope, root.call(), handler);
		}
		catch (BadRequestException ex) {
			return discard(request, this.writer.refusal(ex));
		}
	}

	// A repeated order goes to the order handling even while the node drains, since only
	// the order handling knows whether the order ran.
	private static boolean mayHaveRunBefore(HttpRequest request) {
		return request.getHeader(HeaderNames.TICKET).isPresent()
				|| request.getHeader(HeaderNames.IDEMPOTENCY_KEY).isPresent();
	}

	private CompletionStage<HttpResponse> discard(HttpRequest request, HttpResponse response) {
		request.discardEntityBytes(this.materializer);
		return CompletableFuture.completedFuture(response);
	}

	// Runs a request under an id that the client may have sent before.
	private CallHandle runRepeatable(CallRequest call, CallListener listener) {
		RequestContext context = call.context();
		ClientRequestTable.Entry tableEntry = this.requests.begin(context.tenant(), context.root(),
				context.retryAllowance());
		if (tableEntry.decision() != ClientRequestTable.Decision.ADMITTED) {
			boolean full = tableEntry.decision() == ClientRequestTable.Decision.TABLE_FULL;
			listener.finished(
					Outcomes.refused(call, full ? RefusalReason.TABLE_FULL : RefusalReason.RETRIES_SPENT, RETRY_AFTER));
			return () -> {
			};
		}
		RetryAllowance.Reservation reservation = tableEntry.allowance().reserve(tableEntry.allowance().available());
		return this.entry.handle(Outcomes.withAllowance(call, reservation.size()), (response) -> {
			reservation.returnUnspent(response.unspentRetryAllowance());
			this.requests.end(context.tenant(), context.root(), response.outcome() instanceof Outcome.Refused);
			listener.finished(response);
		});
	}

}
