package org.wasabicart.mesh;

import java.util.Objects;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.AsciiString;

import org.wasabicart.core.mesh.GateRefusal;

/**
 * Translates calls to requests for a backend server, and its answers to outcomes.
 */
final class BackendMessages {

	private static final int STATUS_MISDIRECTED = 421;

	private static final AsciiString VERSION_LINE_END = AsciiString.cached(" HTTP/1.1\r\n");

	/**
	 * Bytes of the request line and of the fields that this node adds, at most usually.
	 */
	private static final int HEAD_BYTES = 256;

	private final CallHeaders names;

	BackendMessages(CallHeaders names) {
		this.names = Objects.requireNonNull(names, "names");
	}

	/**
	 * Writes the request for a call.
	 * @param call call
	 * @param remainingMilliseconds time that is left for the call
	 * @param allocator allocates the message
	 * @return the whole message
	 */
	ByteBuf request(Call call, long remainingMilliseconds, ByteBufAllocator allocator) {
		ByteBuf message = allocator
			.ioBuffer(HEAD_BYTES + call.target().length() + call.headers().size() + call.body().length);
		ByteBufUtil.writeAscii(message, call.method());
		message.writeByte(' ');
		ByteBufUtil.writeAscii(message, call.target());
		ByteBufUtil.writeAscii(message, VERSION_LINE_END);
		call.headers().writeTo(message);
		if (call.body().length > 0 || HttpMethod.POST.name().equals(call.method())
				|| HttpMethod.PUT.name().equals(call.method())) {
			HeaderBlock.writeField(message, HttpHeaderNames.CONTENT_LENGTH, Integer.toString(call.body().length));
		}
		HeaderBlock.writeField(message, this.names.deadline(), Long.toString(remainingMilliseconds));
		HeaderBlock.writeField(message, this.names.expectedInstance(), call.instance());
		HeaderBlock.writeField(message, this.names.callerService(), call.callerService());
		HeaderBlock.endLine(message);
		message.writeBytes(call.body());
		return message;
	}

	/**
	 * Tells what an answer says of the call. Only the server's own word shows that the
	 * call has not run.
	 * @param answer whole answer
	 * @return the outcome
	 */
	CallResult result(BackendAnswer answer) {
		int status = answer.head().status().code();
		HttpHeaders headers = answer.head().headers();
		if (status == STATUS_MISDIRECTED) {
			return new CallResult.Refused(GateRefusal.WRONG_INSTANCE, true);
		}
		if (headers.contains(this.names.notExecuted())) {
			return new CallResult.Refused(GateRefusal.SHED, true);
		}
		if (!headers.contains(this.names.signature())) {
			return new CallResult.Failed("answer-without-signature status=" + status);
		}
		if (headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
			return new CallResult.Failed("answer-encoded");
		}
		return new CallResult.Answered(status, HeaderBlock.endToEnd(headers, Set.of()), answer.body());
	}

}
