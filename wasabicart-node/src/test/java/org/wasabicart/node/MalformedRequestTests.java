package org.wasabicart.node;

import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against malformed requests that reach the backend server, hang, or affect other
 * requests.
 */
@Timeout(30)
class MalformedRequestTests {

	private final AtomicInteger backendCalls = new AtomicInteger();

	private RunningNode node;

	@BeforeEach
	void start() throws Exception {
		this.node = new RunningNode(4, (exchange) -> {
			this.backendCalls.incrementAndGet();
			RunningNode.respond(exchange, 200, "ok");
		}).announce();
	}

	@AfterEach
	void stop() {
		this.node.close();
	}

	@Test
	void requestWithoutKindIsRefused() throws Exception {
		HttpResponse<String> response = this.node.send(HttpRequest.newBuilder(this.node.callerUri("/elsewhere")));
		assertBadRequest(response, "Wasabicart-Kind");
	}

	@Test
	void allInvalidHeadersAreReportedTogether() throws Exception {
		HttpResponse<String> response = this.node.send(HttpRequest.newBuilder(this.node.callerUri("/stock/7"))
			.header("Wasabicart-Kind", "lookup")
			.header("Wasabicart-Kind", "print-run")
			.header("Wasabicart-Request-Id", "a b")
			.header("Wasabicart-Deadline-Milliseconds", "-5"));
		assertBadRequest(response, "Wasabicart-Kind");
		Assertions.assertThat(response.body())
			.contains("Wasabicart-Request-Id")
			.contains("Wasabicart-Deadline-Milliseconds");
	}

	@Test
	void bodyOverTheSizeLimitIsRefused() throws Exception {
		HttpResponse<String> response = this.node.send(HttpRequest.newBuilder(this.node.callerUri("/stock/7"))
			.POST(HttpRequest.BodyPublishers.ofByteArray(new byte[(4 << 20) + 1])));
		Assertions.assertThat(response.statusCode()).isEqualTo(413);
		Assertions.assertThat(response.headers().firstValue("Wasabicart-Execution")).hasValue("not-run");
		Assertions.assertThat(this.backendCalls).hasValue(0);
	}

	/**
	 * Guards against a reset of the connection that discards the response before a caller
	 * has read it.
	 */
	@Test
	void refusalOfALargeBodyReachesACallerThatReadsAfterSending() throws Exception {
		byte[] piece = new byte[64 * 1024];
		try (Socket socket = new Socket(this.node.callerAddress().host(), this.node.callerAddress().port())) {
			socket.getOutputStream()
				.write(("POST /stock/7 HTTP/1.1\r\nHost: a\r\nContent-Length: " + 80 * piece.length + "\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			for (int i = 0; i < 80; i++) {
				socket.getOutputStream().write(piece);
				Thread.sleep(3);
			}
			byte[] response = socket.getInputStream().readNBytes(12);
			Assertions.assertThat(new String(response, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 413");
		}
		Assertions.assertThat(this.backendCalls).hasValue(0);
	}

	@Test
	void oversizedHeaderIsRefused() throws Exception {
		String response = sendRaw("GET /stock/7 HTTP/1.1\r\nHost: a\r\nX-Large: " + "x".repeat(20_000) + "\r\n\r\n");
		Assertions.assertThat(response).startsWith("HTTP/1.1 431");
		Assertions.assertThat(this.backendCalls).hasValue(0);
	}

	@Test
	void conflictingContentLengthsAreRefused() throws Exception {
		String response = sendRaw(
				"POST /stock/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde");
		Assertions.assertThat(response).startsWith("HTTP/1.1 400");
		Assertions.assertThat(this.backendCalls).hasValue(0);
	}

	@Test
	void incompleteBodyIsRefusedAfterTimeout() throws Exception {
		String response = sendRaw("POST /stock/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
		Assertions.assertThat(response).startsWith("HTTP/1.1 408").contains("Wasabicart-Execution: not-run");
		Assertions.assertThat(this.backendCalls).hasValue(0);
	}

	@Test
	void invalidBytesAfterRequestCloseOnlyTheirConnection() throws Exception {
		String response = sendRaw(
				"GET /stock/7 HTTP/1.1\r\nHost: a\r\n\r\n" + "\u0000garbage that is longer than any method\r\n\r\n");
		Assertions.assertThat(response).endsWith("Unsupported HTTP method");
		Assertions.assertThat(this.backendCalls).hasValueLessThanOrEqualTo(1);
		Assertions.assertThat(this.node.send(HttpRequest.newBuilder(this.node.callerUri("/stock/8"))).statusCode())
			.isEqualTo(200);
	}

	@Test
	void invalidAnnouncementIsRefusedAndKeepsTheEarlierOne() throws Exception {
		HttpResponse<String> response = this.node
			.send(HttpRequest.newBuilder(this.node.localUri("/wasabicart/announcement"))
				.PUT(HttpRequest.BodyPublishers.ofString("{\"service\":\"stores\",\"slots\":-1}")));
		Assertions.assertThat(response.statusCode()).isEqualTo(400);
		Assertions.assertThat(this.node.send(HttpRequest.newBuilder(this.node.callerUri("/stock/8"))).statusCode())
			.isEqualTo(200);
	}

	private String sendRaw(String text) throws Exception {
		try (RawConnection connection = new RawConnection(this.node.callerAddress())) {
			connection.write(text);
			return connection.readAll();
		}
	}

	private void assertBadRequest(HttpResponse<String> response, String headerName) {
		Assertions.assertThat(response.statusCode()).isEqualTo(400);
		Assertions.assertThat(response.headers().firstValue("Wasabicart-Execution")).hasValue("not-run");
		Assertions.assertThat(response.body()).contains(headerName);
		Assertions.assertThat(this.backendCalls).hasValue(0);
	}

}
