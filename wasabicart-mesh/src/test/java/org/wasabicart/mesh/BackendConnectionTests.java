package org.wasabicart.mesh;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers that are not whole, or that belong to another request.
 */
class BackendConnectionTests {

	private final List<String> outcomes = new ArrayList<>();

	private final BackendResponseDecoder decoder = new BackendResponseDecoder();

	private final BackendConnection connection = new BackendConnection("Id", this.decoder, (idle) -> {
	});

	private final EmbeddedChannel channel = new EmbeddedChannel(this.decoder, this.connection);

	private void send(String id) {
		this.connection.send(Unpooled.EMPTY_BUFFER, HttpMethod.GET, id, new BackendConnection.Exchange.Listener() {
			@Override
			public void answered(BackendAnswer answer) {
				BackendConnectionTests.this.outcomes
					.add(answer.head().status().code() + " " + new String(answer.body(), StandardCharsets.UTF_8));
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

	private static String answer(String id, String body) {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	@Test
	void wholeAnswerIsDeliveredAndTheConnectionKept() {
		send("a");
		receive(answer("a", "whole"));
		assertThat(this.outcomes).containsExactly("200 whole");
		assertThat(this.connection.open()).isTrue();
	}

	@Test
	void lateExtraAnswerIsNotTakenForTheNextOne() {
		send("a");
		receive(answer("a", "first"));
		send("b");
		receive(answer("a", "extra") + answer("b", "second"));
		assertThat(this.outcomes).containsExactly("200 first", "200 second");
		assertThat(this.connection.open()).isFalse();
	}

	@Test
	void bytesWithoutARequestEndTheConnection() {
		send("a");
		receive(answer("a", "first"));
		receive(answer("a", "extra"));
		assertThat(this.connection.open()).isFalse();
		assertThat(this.outcomes).containsExactly("200 first");
	}

	@Test
	void shortAnswerFails() {
		send("a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nshort");
		this.channel.close();
		assertThat(this.outcomes).containsExactly("connection-closed");
	}

	@Test
	void brokenChunksFail() {
		send("a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n");
		this.channel.close();
		assertThat(this.outcomes).containsExactly("connection-closed");
	}

	@Test
	void answerWithoutLengthEndsWithTheConnection() {
		send("a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole");
		assertThat(this.outcomes).isEmpty();
		this.channel.close();
		assertThat(this.outcomes).containsExactly("200 whole");
	}

	@Test
	void answerWithoutLengthThatIsResetFails() {
		send("a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\n\r\npart");
		this.channel.pipeline().fireExceptionCaught(new java.io.IOException("Connection reset"));
		assertThat(this.outcomes).containsExactly("connection-reset");
	}

	@Test
	void bytesThatAreNoAnswerFail() {
		send("a");
		receive("garbage\r\n\r\n");
		assertThat(this.outcomes).hasSize(1);
		assertThat(this.outcomes.get(0)).startsWith("answer-not-http");
	}

}
