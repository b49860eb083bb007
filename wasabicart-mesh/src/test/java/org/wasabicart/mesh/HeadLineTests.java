package org.wasabicart.mesh;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.wasabicart.core.mesh.RequestPriority;
import org.wasabicart.wire.generated.mesh.MeshCall;
import org.wasabicart.wire.generated.mesh.MeshReply;
import org.wasabicart.wire.generated.mesh.MeshResult;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against a value that ends a line of a message head, so that the rest of the head
 * is read as a body or as another request.
 */
class HeadLineTests {

	private static MeshCall.Builder call() {
		return CallMessages
			.toFrame(new Call("id", "GET", "/", HeaderBlock.EMPTY, new byte[0], 1_000_000_000L, "i-1", "service", true,
					RequestPriority.ofRoute(0), 0, "route", Optional.empty(), Optional.empty(), OptionalLong.empty()),
					1, 0)
			.getCall()
			.toBuilder();
	}

	private static void assertRejected(MeshCall.Builder message) {
		assertThatThrownBy(() -> CallMessages.toCall(message.build(), 0)).isInstanceOf(IllegalArgumentException.class);
	}

	private static ByteString bytes(String text) {
		return ByteString.copyFrom(text, StandardCharsets.ISO_8859_1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "i-1\r\n", "i\nX: 1", "\r", "a\u0000b", "\u010d\u010a" })
	void fieldWithALineBreakIsNotWritten(String text) {
		assertThatThrownBy(() -> HeaderBlock.writeField(Unpooled.buffer(), "Name", text))
			.isInstanceOf(IllegalArgumentException.class);
		assertThatThrownBy(() -> HeaderBlock.writeField(Unpooled.buffer(), text, "value"))
			.isInstanceOf(IllegalArgumentException.class);
		assertThatThrownBy(() -> HeaderBlock.of("Name", text)).isInstanceOf(IllegalArgumentException.class);
		assertThatThrownBy(() -> HeaderBlock.EMPTY.with("Name", text)).isInstanceOf(IllegalArgumentException.class);
	}

	@ParameterizedTest
	@ValueSource(strings = { "A: 1", "A: 1\n", "A: 1\r", "\r\n", "A: 1\r\n\r\n", "A: 1\r\n\r\nGET / HTTP/1.1\r\n",
			"A: 1\rB: 2\r\n", "A: 1\nB: 2\r\n", "A: \u0000\r\n", "no colon\r\n", ": no name\r\n", " A: 1\r\n" })
	void headerLinesOfAnotherNodeThatWouldEndTheHeadAreRejected(String lines) {
		assertRejected(call().setHeaders(bytes(lines)));
		MeshReply reply = MeshReply.newBuilder()
			.setResult(MeshResult.ANSWERED)
			.setStatus(200)
			.setHeaders(bytes(lines))
			.build();
		assertThat(CallMessages.toResult(reply)).isInstanceOf(CallResult.Failed.class);
	}

	@Test
	void completeHeaderLinesOfAnotherNodeAreAccepted() {
		String lines = "A: \r\nB: caf\u00e9\tx\r\nC:1\r\n";
		Call call = CallMessages.toCall(call().setHeaders(bytes(lines)).build(), 0);
		assertThat(call.headers().toByteString()).isEqualTo(bytes(lines));
	}

	@ParameterizedTest
	@ValueSource(strings = { "/\r\nX: 1", "/ HTTP/1.1\r\n\r\n", "/a b", "/a\tb", "/\u0000", "", "/\u010d\u010a" })
	void targetThatWouldEndTheRequestLineIsRejected(String target) {
		assertRejected(call().setTarget(target));
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET /other HTTP/1.1\r\n", "GET\r\n", "G ET", "", "G\u0000", "G\u0120" })
	void methodThatWouldEndTheRequestLineIsRejected(String method) {
		assertRejected(call().setMethod(method));
	}

	@ParameterizedTest
	@ValueSource(strings = { "i-1\r\n", "i\nX: 1", "i\u0000", "\u010d\u010a" })
	void serverAndServiceOfACallAreOneLine(String text) {
		assertRejected(call().setInstance(text));
		assertRejected(call().setCallerService(text));
	}

}
