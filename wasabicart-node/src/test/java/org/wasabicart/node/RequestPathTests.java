package org.wasabicart.node;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Checks the path of a request through a running node: complete responses, refusals that
 * report correctly whether the request ran, deadlines, cancellation and graceful
 * shutdown.
 */
@Timeout(30)
class RequestPathTests {

	@Test
	void callerReceivesCompleteResponseOfBackendServer() throws Exception {
		String body = "x".repeat(300_000);
		try (RunningNode node = new RunningNode(4, (exchange) -> {
			exchange.getResponseHeaders().add("X-Shelf", exchange.getRequestURI().toString());
			RunningNode.respond(exchange, 201, body);
		}).announce()) {
			HttpResponse<String> response = node.send(HttpRequest.newBuilder(node.callerUri("/stock/7?size=a%20b")));
			Assertions.assertThat(response.statusCode()).isEqualTo(201);
			Assertions.assertThat(response.body()).isEqualTo(body);
			Assertions.assertThat(response.headers().firstValue("X-Shelf")).hasValue("/stock/7?size=a%20b");
			Assertions.assertThat(response.headers().firstValue("Wasabicart-Request-Id")).isPresent();
		}
	}

	@Test
	void requestWithoutBackendServerIsRefusedAsNotRun() throws Exception {
		try (RunningNode node = new RunningNode(4, (exchange) -> RunningNode.respond(exchange, 200, "ok"))) {
			assertOutcome(node.send(HttpRequest.newBuilder(node.callerUri("/stock/7"))), 503, "not-run",
					"no-backend-server");
		}
	}

	@Test
	void stoppedBackendServerIsReportedAsNotRun() throws Exception {
		try (RunningNode node = new RunningNode(4, (exchange) -> RunningNode.respond(exchange, 200, "ok")).announce()) {
			node.stopBackend();
			HttpResponse<String> response = node.send(HttpRequest.newBuilder(node.callerUri("/stock/7")));
			assertOutcome(response, 503, "not-run", "no-backend-server");
			Assertions.assertThat(response.headers().firstValue("Retry-After")).hasValue("1");
		}
	}

	@Test
	void failedOrderIsNotSentAgain() throws Exception {
		AtomicInteger backendCalls = new AtomicInteger();
		try (RunningNode node = new RunningNode(4, (exchange) -> {
			backendCalls.incrementAndGet();
			RunningNode.respond(exchange, 500, "");
		}).announce()) {
			assertOutcome(node.send(HttpRequest.newBuilder(node.callerUri("/orders/7"))), 502, "ran", "backend-error");
			Assertions.assertThat(backendCalls).hasValue(1);
		}
	}

	@Test
	void shedOrderIsReportedAsNotRun() throws Exception {
		try (RunningNode node = new RunningNode(4, (exchange) -> {
			exchange.getResponseHeaders().add("Wasabicart-Shed", "not-run");
			exchange.getResponseHeaders()
				.add("Wasabicart-Context", exchange.getRequestHeaders().getFirst("Wasabicart-Context"));
			RunningNode.respond(exchange, 503, "");
		}).announce()) {
			assertOutcome(node.send(HttpRequest.newBuilder(node.callerUri("/orders/7"))), 503, "not-run", "shed");
		}
	}

	@Test
	void shedOrderOfAServerThatDoesNotNameItIsNotReportedAsNotRun() throws Exception {
		try (RunningNode node = new RunningNode(4, (exchange) -> {
			exchange.getResponseHeaders().add("Wasabicart-Shed", "not-run");
			RunningNode.respond(exchange, 503, "");
		}).announce()) {
			assertOutcome(node.send(HttpRequest.newBuilder(node.callerUri("/orders/7"))), 502, "unknown",
					"incomplete-answer");
		}
	}

	@Test
	void deadlineCancelsTheCallAtTheBackendServer() throws Exception {
		CountDownLatch release = new CountDownLatch(1);
		try (RunningNode node = new RunningNode(4, (exchange) -> {
			await(release);
			RunningNode.respond(exchange, 200, "late");
		}).announce()) {
			HttpResponse<String> response = node.send(HttpRequest.newBuilder(node.callerUri("/stock/7"))
				.header("Wasabicart-Deadline-Milliseconds", "100"));
			assertOutcome(response, 504, "unknown", "timeout");
			awaitTrue(() -> node.cancelledPaths().size() == 1);
			release.countDown();
		}
	}

	@Test
	void disconnectOfCallerCancelsTheCallAtTheBackendServer() throws Exception {
		CountDownLatch started = new CountDownLatch(1);
		CountDownLatch release = new CountDownLatch(1);
		try (RunningNode node = new RunningNode(4, (exchange) -> {
			started.countDown();
			await(release);
			RunningNode.respond(exchange, 200, "late");
		}).announce()) {
			try (RawConnection connection = new RawConnection(node.callerAddress())) {
				connection.write("GET /stock/7 HTTP/1.1\r\nHost: a\r\n\r\n");
				Assertions.assertThat(started.await(5, TimeUnit.SECONDS)).isTrue();
			}
			awaitTrue(() -> node.cancelledPaths().size() == 1);
			release.countDown();
		}
	}

	@Test
	void nestedCallUsesContextOnlyWhileItsRequestRuns() throws Exception {
		AtomicReference<String> contextHandle = new AtomicReference<>();
		AtomicReference<HttpResponse<String>> nested = new AtomicReference<>();
		AtomicReference<RunningNode> runningNode = new AtomicReference<>();
		try (RunningNode node = new RunningNode(4, (exchange) -> {
			if (exchange.getRequestURI().getPath().equals("/stock/7")) {
				contextHandle.set(exchange.getRequestHeaders().getFirst("Wasabicart-Context"));
				nested.set(nestedCall(runningNode.get(), contextHandle.get()));
			}
			RunningNode.respond(exchange, 200, exchange.getRequestHeaders().getFirst("Wasabicart-Request-Id"));
		}).announce()) {
			runningNode.set(node);
			HttpResponse<String> root = node
				.send(HttpRequest.newBuilder(node.callerUri("/stock/7")).header("Wasabicart-Request-Id", "r1"));
			Assertions.assertThat(root.body()).isEqualTo("r1");
			Assertions.assertThat(nested.get().body()).isEqualTo("r1");
			assertOutcome(nestedCall(node, contextHandle.get()), 400, "not-run", "context-unknown");
		}
	}

	@Test
	void requestInProgressCompletesDuringStop() throws Exception {
		CountDownLatch started = new CountDownLatch(1);
		CountDownLatch release = new CountDownLatch(1);
		try (RunningNode node = new RunningNode(4, (exchange) -> {
			started.countDown();
			await(release);
			RunningNode.respond(exchange, 200, "done");
		}).announce()) {
			CompletableFuture<HttpResponse<String>> response = node.client()
				.sendAsync(HttpRequest.newBuilder(node.callerUri("/stock/7")).build(),
						HttpResponse.BodyHandlers.ofString());
			Assertions.assertThat(started.await(5, TimeUnit.SECONDS)).isTrue();
			CompletableFuture<Void> stopped = CompletableFuture.runAsync(node.node()::close);
			awaitTrue(() -> refusesNewWork(node));
			release.countDown();
			Assertions.assertThat(response.get(5, TimeUnit.SECONDS).body()).isEqualTo("done");
			stopped.get(10, TimeUnit.SECONDS);
		}
	}

	private static boolean refusesNewWork(RunningNode node) {
		try {
			HttpResponse<String> response = node.send(
					HttpRequest.newBuilder(node.callerUri("/stock/8")).header("Wasabicart-Deadline-Milliseconds", "0"));
			return response.headers().firstValue("Wasabicart-Reason").filter("draining"::equals).isPresent();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static HttpResponse<String> nestedCall(RunningNode node, String contextHandle) {
		try {
			return node.send(HttpRequest.newBuilder(node.localUri("/nested"))
				.header("Wasabicart-Service", "stores")
				.header("Wasabicart-Context", contextHandle));
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void assertOutcome(HttpResponse<String> response, int status, String execution, String reason) {
		Assertions.assertThat(response.headers().firstValue("Wasabicart-Reason")).hasValue(reason);
		Assertions.assertThat(response.headers().firstValue("Wasabicart-Execution")).hasValue(execution);
		Assertions.assertThat(response.statusCode()).isEqualTo(status);
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(10, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			Thread.sleep(10);
		}
		Assertions.assertThat(condition.getAsBoolean()).isTrue();
	}

}
