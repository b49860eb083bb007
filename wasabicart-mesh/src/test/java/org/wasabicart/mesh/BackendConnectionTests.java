package org.wasabicart.mesh;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against delivering an incomplete response, or the response to another request.
 */
class BackendConnectionTests {

	private static final int PIECE_BYTES = 16 * 1024;

	private static final long MEMORY_LIMIT = 3L * BackendConnection.MAXIMUM_BODY_BYTES / 2;

	private final List<String> outcomes = new ArrayList<>();

	/** Request that is sent as soon as the first one has its response. */
	private String nextRequest;

	private final ClientResponseDecoder decoder = new ClientResponseDecoder();

	private final HeldMemory memory = new HeldMemory(MEMORY_LIMIT, Runnable::run);

	private final BackendConnection connection = new BackendConnection("Id", this.decoder, this.memory, (idle) -> {
	});

	private final EmbeddedChannel channel = new EmbeddedChannel(this.decoder, this.connection);

	private void send(String id) {
		this.connection.send(Unpooled.EMPTY_BUFFER, HttpMethod.GET, id, new BackendConnection.Exchange.Listener() {
			@Override
			public void answered(BackendResponse response) {
				BackendConnectionTests.this.outcomes
					.add(response.head().status().code() + " " + new String(response.body(), StandardCharsets.UTF_8));
				if (BackendConnectionTests.this.nextRequest != null) {
					String next = BackendConnectionTests.this.nextRequest;
					BackendConnectionTests.this.nextRequest = null;
					send(next);
				}
			}

			@Override
			public void failed(String reason) {
				BackendConnectionTests.this.outcomes.add(reason);
			}
		});
	}

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
	}

	private void receiveInParts(String text, int partLength) {
		for (int start = 0; start < text.length(); start += partLength) {
			receive(text.substring(start, Math.min(text.length(), start + partLength)));
		}
	}

	private static String response(String id, String body) {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	@Test
	void completeResponseIsDeliveredAndConnectionStaysUsable() {
		send("a");
		receive(response("a", "whole"));
		assertThat(this.outcomes).containsExactly("200 whole");
		assertThat(this.connection.usable()).isTrue();
	}

	/**
	 * Guards against an informational response that is taken for the answer, when the
	 * connection ends without a final one.
	 */
	@Test
	void informationalResponseWithoutAFinalOneIsNotDelivered() {
		for (String status : List.of("100", "103", "199")) {
			BackendConnectionTests test = new BackendConnectionTests();
			test.send("a");
			test.receive("HTTP/1.1 " + status + " Text\r\nId: a\r\nSignature: s\r\n\r\n");
			assertThat(test.outcomes).isEmpty();
			test.channel.close();
			assertThat(test.outcomes).containsExactly("connection-closed");
		}
	}

	@Test
	void invalidStatusFailsAndClosesTheConnection() {
		for (String status : List.of("000", "1", "099", "101", "600", "999")) {
			BackendConnectionTests test = new BackendConnectionTests();
			test.send("a");
			test.receive("HTTP/1.1 " + status + " Text\r\nId: a\r\nContent-Length: 0\r\n\r\n");
			assertThat(test.outcomes).hasSize(1).allMatch((outcome) -> outcome.startsWith("answer-"));
			assertThat(test.connection.usable()).isFalse();
		}
	}

	/**
	 * Guards against parts of a line break that are passed on to callers as a part of a
	 * line.
	 */
	@Test
	void partOfALineBreakWithinALineFails() {
		for (String line : List.of("A: b\rc", "A\rB: c", "A: b\u0000c")) {
			BackendConnectionTests test = new BackendConnectionTests();
			test.send("a");
			test.receive("HTTP/1.1 200 OK\r\nId: a\r\n" + line + "\r\nContent-Length: 0\r\n\r\n");
			assertThat(test.outcomes).containsExactly("answer-not-http");
			assertThat(test.connection.usable()).isFalse();
		}
	}

	@Test
	void lateDuplicateResponseIsNotDeliveredForTheNextRequest() {
		send("a");
		receive(response("a", "first"));
		send("b");
		receive(response("a", "extra") + response("b", "second"));
		assertThat(this.outcomes).containsExactly("200 first", "200 second");
		assertThat(this.connection.usable()).isFalse();
	}

	@Test
	void responseWithoutARequestClosesTheConnection() {
		send("a");
		receive(response("a", "first"));
		receive(response("a", "extra"));
		assertThat(this.connection.usable()).isFalse();
		assertThat(this.outcomes).containsExactly("200 first");
	}

	@Test
	void responseShorterThanItsContentLengthFails() {
		send("a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nshort");
		this.channel.close();
		assertThat(this.outcomes).containsExactly("connection-closed");
	}

	@Test
	void incompleteChunkedResponseFails() {
		send("a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n");
		this.channel.close();
		assertThat(this.outcomes).containsExactly("connection-closed");
	}

	@Test
	void responseWithoutLengthEndsWhenTheConnectionCloses() {
		send("a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole");
		assertThat(this.outcomes).isEmpty();
		this.channel.close();
		assertThat(this.outcomes).containsExactly("200 whole");
	}

	@Test
	void responseWithoutLengthFailsWhenTheConnectionIsReset() {
		send("a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\n\r\npart");
		this.channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
		assertThat(this.outcomes).containsExactly("connection-reset");
	}

	private void assertEndlessResponseFails(String start, String repeated) {
		send("a");
		receive(start);
		String piece = repeated.repeat(PIECE_BYTES / repeated.length());
		long received = 0;
		while (this.channel.isActive() && received < 4L * BackendConnection.MAXIMUM_BODY_BYTES) {
			receive(piece);
			received += piece.length();
		}
		assertThat(this.channel.isActive()).isFalse();
		assertThat(received).isLessThan(2L * BackendConnection.MAXIMUM_BODY_BYTES);
		assertThat(this.outcomes).hasSize(1).noneMatch((outcome) -> outcome.startsWith("200"));
	}

	@Test
	void endlessStatusLineFails() {
		assertEndlessResponseFails("HTTP/1.1 200 ", "x");
	}

	@Test
	void endlessHeaderFieldFails() {
		assertEndlessResponseFails("HTTP/1.1 200 OK\r\nId: ", "x");
	}

	@Test
	void endlessHeaderFieldsFail() {
		assertEndlessResponseFails("HTTP/1.1 200 OK\r\n", "Name: value\r\n");
	}

	@Test
	void endlessBodyWithoutLengthFails() {
		assertEndlessResponseFails("HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x");
	}

	@Test
	void endlessChunksFail() {
		assertEndlessResponseFails("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
				"40\r\n" + "x".repeat(64) + "\r\n");
	}

	@Test
	void endlessChunkSizeFails() {
		assertEndlessResponseFails("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0");
	}

	@Test
	void endlessTrailersFail() {
		assertEndlessResponseFails("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
				"Name: value\r\n");
	}

	@Test
	void endlessInformationalResponsesFail() {
		assertEndlessResponseFails("", "HTTP/1.1 100 Continue\r\n\r\n");
	}

	@Test
	void endlessLineBreaksFail() {
		assertEndlessResponseFails("", "\r\n");
	}

	/**
	 * Guards against running out of memory when a body arrives in many small parts, each
	 * of which retained the buffer that it was read into.
	 */
	@Test
	void partsOfABodyDoNotRetainTheBuffersTheyWereReadInto() {
		send("a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n");
		List<ByteBuf> buffers = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			ByteBuf buffer = Unpooled.copiedBuffer("1\r\nx\r\n", StandardCharsets.US_ASCII);
			buffers.add(buffer);
			this.channel.writeInbound(buffer);
		}
		assertThat(buffers).allMatch((buffer) -> buffer.refCnt() == 0);
		receive("0\r\n\r\n");
		assertThat(this.outcomes).containsExactly("200 " + "x".repeat(100));
		assertThat(this.memory.held()).isZero();
	}

	@Test
	void heldMemoryIsReleasedWhenTheResponseFails() {
		send("a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nshort");
		assertThat(this.memory.held()).isEqualTo(5);
		this.channel.close();
		assertThat(this.memory.held()).isZero();
	}

	private static final String REFUSAL_WITHOUT_ID = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
			+ "Content-Length: 0\r\n\r\n";

	private static String refusal(String id) {
		return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
	}

	static List<String> repeatedRefusals() {
		return List.of(refusal("a"), REFUSAL_WITHOUT_ID, refusal("a").replace("503 Service Unavailable", "429 x"),
				refusal("a").replace("503 Service Unavailable", "421 x"),
				REFUSAL_WITHOUT_ID.replace("503 Service Unavailable", "421 x"));
	}

	@ParameterizedTest
	@MethodSource("repeatedRefusals")
	void refusalRepeatedBeforeTheNextRequestClosesTheConnection(String repeated) {
		send("a");
		receive(refusal("a"));
		receive(repeated);
		assertThat(this.outcomes).containsExactly("503 ");
		assertThat(this.connection.usable()).isFalse();
	}

	@ParameterizedTest
	@MethodSource("repeatedRefusals")
	void refusalRepeatedDuringTheNextRequestIsNotItsResponse(String repeated) {
		send("a");
		receive(refusal("a"));
		send("b");
		receive(repeated + response("b", "second"));
		assertThat(this.outcomes).containsExactly("503 ", "200 second");
		assertThat(this.connection.usable()).isFalse();
	}

	@ParameterizedTest
	@MethodSource("repeatedRefusals")
	void refusalRepeatedInPlaceOfTheNextResponseLeavesItsOutcomeUnknown(String repeated) {
		send("a");
		receive(refusal("a"));
		send("b");
		receive(repeated);
		this.channel.close();
		assertThat(this.outcomes).containsExactly("503 ", "connection-closed");
	}

	@ParameterizedTest
	@MethodSource("repeatedRefusals")
	void refusalRepeatedInTheSegmentOfTheFirstIsNotTheResponseToTheNextRequest(String repeated) {
		// The pool may use the connection again while the rest of the segment is
		// decoded.
		this.nextRequest = "b";
		send("a");
		receive(refusal("a") + repeated);
		this.channel.close();
		assertThat(this.outcomes).containsExactly("503 ", "connection-closed");
	}

	@Test
	void refusalOfAnEarlierAttemptIsNotTheResponseToTheSameRequestSentAgain() {
		send("a");
		receive(refusal("a"));
		assertThat(this.connection.usableFor("a")).isFalse();
		assertThat(this.connection.usableFor("b")).isTrue();
	}

	static List<String> additionalResponses() {
		return List.of(REFUSAL_WITHOUT_ID, refusal("a"), response("a", "extra"), "HTTP/1.0 100 Continue\r\n\r\n",
				"HTTP/1.1 503 x\r\nNot-Run: 1\r\nName: folded\r\n value\r\nContent-Length: 0\r\n\r\n",
				"HTTP/1.1 503 x\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
	}

	/**
	 * Guards against orders that have run but are reported as not run: the beginning of a
	 * refusal was kept and joined with the head of the next response.
	 */
	@ParameterizedTest
	@MethodSource("additionalResponses")
	void beginningOfAResponseInTheSegmentOfTheFirstClosesTheConnection(String additional) {
		for (int length = 1; length <= additional.length(); length++) {
			BackendConnectionTests cut = new BackendConnectionTests();
			cut.send("a");
			cut.receive(response("a", "first") + additional.substring(0, length));
			assertThat(cut.outcomes).as("first %d bytes", length).containsExactly("200 first");
			assertThat(cut.connection.usable()).as("first %d bytes", length).isFalse();
		}
	}

	/**
	 * Guards against the same failure if the additional bytes arrive while the connection
	 * is idle.
	 */
	@ParameterizedTest
	@MethodSource("additionalResponses")
	void beginningOfAResponseBeforeTheNextRequestClosesTheConnection(String additional) {
		for (int length = 1; length <= additional.length(); length++) {
			BackendConnectionTests cut = new BackendConnectionTests();
			cut.send("a");
			cut.receive(response("a", "first"));
			cut.receive(additional.substring(0, length));
			assertThat(cut.connection.usable()).as("first %d bytes", length).isFalse();
		}
	}

	/**
	 * Guards against the same failure if the additional bytes arrive after the next
	 * request was sent, so that closing an idle connection does not prevent it.
	 */
	@ParameterizedTest
	@MethodSource("additionalResponses")
	void beginningOfAResponseInFrontOfTheNextOneIsNotJoinedWithIt(String additional) {
		for (int length = 1; length <= additional.length(); length++) {
			BackendConnectionTests cut = new BackendConnectionTests();
			cut.send("a");
			cut.receive(response("a", "first"));
			cut.send("b");
			cut.receive(additional.substring(0, length));
			cut.receive(response("b", "second"));
			cut.channel.close();
			assertThat(cut.outcomes).as("first %d bytes", length).hasSize(2);
			assertThat(cut.outcomes.get(1)).as("first %d bytes", length)
				.matches("200 second|connection-closed|answer-not-http");
		}
	}

	@Test
	void headerValueThatNamesAProtocolIsAccepted() {
		send("a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\nVia: HTTP/1.1 gateway\r\nUpgrade: HTTP/2.0\r\n"
				+ "Content-Length: 5\r\n\r\nwhole");
		assertThat(this.outcomes).containsExactly("200 whole");
	}

	private static final String HEAD = "HTTP/1.1 200 OK\r\nSignature: s\r\nId: a\r\n";

	static List<String> framedResponses() {
		return List.of(HEAD + "Content-Length: 10\r\n\r\n0123456789", HEAD + "Content-Length: 0\r\n\r\n",
				HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\na;x=y\r\n0123456789\r\n0\r\n\r\n",
				HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\nTrailer: t\r\nOther: u\r\n\r\n",
				"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + "Content-Length: 3\r\n\r\n012");
	}

	@ParameterizedTest
	@MethodSource("framedResponses")
	void responseCutAtAnyByteIsNotDelivered(String response) {
		for (int length = 0; length < response.length(); length++) {
			for (boolean reset : new boolean[] { false, true }) {
				for (boolean single : new boolean[] { false, true }) {
					BackendConnectionTests cut = new BackendConnectionTests();
					cut.send("a");
					cut.receiveInParts(response.substring(0, length), single ? 1 : length);
					if (reset) {
						cut.channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
					}
					cut.channel.close();
					assertThat(cut.outcomes).as("first %d bytes, reset %s", length, reset)
						.hasSize(1)
						.noneMatch((outcome) -> outcome.startsWith("200"));
				}
			}
		}
	}

	@Test
	void responseWithoutLengthCutInItsHeadIsNotDelivered() {
		String response = HEAD + "\r\n";
		for (int length = 0; length < response.length(); length++) {
			BackendConnectionTests cut = new BackendConnectionTests();
			cut.send("a");
			cut.receive(response.substring(0, length));
			cut.channel.close();
			assertThat(cut.outcomes).as("first %d bytes", length)
				.hasSize(1)
				.noneMatch((outcome) -> outcome.startsWith("200"));
		}
	}

	@Test
	void responseThatIsNotHttpFails() {
		send("a");
		receive("garbage\r\n\r\n");
		assertThat(this.outcomes).hasSize(1);
		assertThat(this.outcomes.get(0)).startsWith("answer-not-http");
	}

}
