package org.wasabicart.node.http;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Materializer;

import org.wasabicart.configuration.Finding;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.node.LocalServerHolder;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.request.Outcomes;
import org.wasabicart.node.request.RunningContext;

/**
 * HTTP interface for the local backend server: its announcement and its nested calls.
 * Nested calls of running requests continue while the node drains.
 */
final class LocalApi implements HttpApi {

	private static final String ANNOUNCEMENT_PATH = "/wasabicart/announcement";

	private static final long ANNOUNCEMENT_LIMIT_BYTES = 4096;

	private static final long ANNOUNCEMENT_TIMEOUT_MILLISECONDS = 1000;

	private final RequestReader reader;

	private final CallRunner runner;

	private final ResponseWriter writer;

	private final LocalServerHolder localServer;

	private final CallHandler entry;

	private final Materializer materializer;

	LocalApi(RequestReader reader, CallRunner runner, ResponseWriter writer, LocalServerHolder localServer,
			CallHandler entry, Materializer materializer) {
		this.reader = reader;
		this.runner = runner;
		this.writer = writer;
		this.localServer = localServer;
		this.entry = entry;
		this.materializer = materializer;
	}

	@Override
	public CompletionStage<HttpResponse> handle(HttpRequest request, ConnectionScope scope) {
		String path = request.getUri().path();
		if (path.equals(ANNOUNCEMENT_PATH) && request.method().equals(HttpMethods.PUT)) {
			return receiveAnnouncement(request);
		}
		try {
			RequestReader.NestedRequest nested = this.reader.nested(request, this.reader.now());
			return this.runner.run(request, scope, nested.call(),
					(call, listener) -> runNested(call, nested.parent(), listener));
		}
		catch (BadRequestException ex) {
			request.discardEntityBytes(this.materializer);
			return CompletableFuture.completedFuture(this.writer.refusal(ex));
		}
	}

	private CompletionStage<HttpResponse> receiveAnnouncement(HttpRequest request) {
		return request.entity()
			.toStrict(ANNOUNCEMENT_TIMEOUT_MILLISECONDS, ANNOUNCEMENT_LIMIT_BYTES, this.materializer)
			.thenApply((body) -> announce(body.getData().toArray()))
			.exceptionally((failure) -> this.writer.refusal(400, RefusalReason.BAD_REQUEST, Duration.ZERO));
	}

	private HttpResponse announce(byte[] body) {
		try {
			this.localServer.announce(AnnouncementFormat.read(body));
			return HttpResponse.create().withStatus(204);
		}
		catch (IOException | IllegalArgumentException ex) {
			return this.writer.refusal(new BadRequestException(RefusalReason.BAD_REQUEST,
					List.of(new Finding("announcement", String.valueOf(ex.getMessage())))));
		}
	}

	// Runs a nested call with half of its parent's remaining retry allowance, so that
	// parallel nested calls can retry too. The unspent part is returned to the parent.
	private CallHandle runNested(CallRequest call, RunningContext parent, CallListener listener) {
		RetryAllowance allowance = parent.allowance();
		RetryAllowance.Reservation reservation = allowance.reserve((allowance.available() + 1) / 2);
		CallRequest callWithAllowance = Outcomes.withAllowance(call, reservation.size());
		NestedCall nested = new NestedCall(parent, reservation, listener);
		return nested.start(callWithAllowance, this.entry);
	}

}
