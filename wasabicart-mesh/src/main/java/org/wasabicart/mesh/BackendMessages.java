package org.wasabicart.mesh;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.AsciiString;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.GateRefusal;
import org.wasabicart.core.mesh.RateLimit;

/**
 * Converts calls to HTTP requests for a backend server, and its responses to results.
 */
final class BackendMessages {

	private static final Logger logger = Logger.getLogger(BackendMessages.class);

	private static final String LEAVING = "1";

	private static final int STATUS_MISDIRECTED_REQUEST = 421;

	private static final AsciiString REQUEST_LINE_END = AsciiString.cached(" HTTP/1.1\r\n");

	/**
	 * Initial buffer capacity for the request line and the fields that this node adds;
	 * usually sufficient.
	 */
	private static final int INITIAL_HEAD_BYTES = 256;

	private final HeaderNames headerNames;

	BackendMessages(HeaderNames headerNames) {
		this.headerNames = Objects.requireNonNull(headerNames, "headerNames");
	}

	/**
	 * Encodes the request for a call.
	 * @param call call
	 * @param remainingMilliseconds time until the deadline of the call
	 * @param allocator allocates the message
	 * @return the complete message
	 */
	ByteBuf request(Call call, long remainingMilliseconds, ByteBufAllocator allocator) {
		boolean longBody = call.body().length > PacedWriteHandler.PIECE_BYTES;
		ByteBuf message = allocator.ioBuffer(INITIAL_HEAD_BYTES + call.target().length() + call.headers().size()
				+ (longBody ? 0 : call.body().length));
		ByteBufUtil.writeAscii(message, call.method());
		message.writeByte(' ');
		ByteBufUtil.writeAscii(message, call.target());
		ByteBufUtil.writeAscii(message, REQUEST_LINE_END);
		call.headers().writeTo(message);
		if (call.body().length > 0 || HttpMethod.POST.name().equals(call.method())
				|| HttpMethod.PUT.name().equals(call.method())) {
			HeaderBlock.writeField(message, HttpHeaderNames.CONTENT_LENGTH, Integer.toString(call.body().length));
		}
		HeaderBlock.writeField(message, this.headerNames.deadline(), Long.toString(remainingMilliseconds));
		HeaderBlock.writeField(message, this.headerNames.expectedInstance(), call.instance());
		HeaderBlock.writeField(message, this.headerNames.callerService(), call.callerService());
		HeaderBlock.endLine(message);
		if (longBody) {
			return Unpooled.wrappedBuffer(message, Unpooled.wrappedBuffer(call.body()));
		}
		return message.writeBytes(call.body());
	}

	/**
	 * Returns what the server states about itself in a response. A response that the
	 * server did not sign, such as a refusal, does not end a limit.
	 * @param response complete response
	 * @return the notice
	 */
	BackendNotice notice(BackendResponse response) {
		HttpHeaders headers = response.head().headers();
		return new BackendNotice(rateLimit(headers), LEAVING.equals(headers.get(this.headerNames.leaving())));
	}

	private Optional<RateLimit> rateLimit(HttpHeaders headers) {
		String value = headers.get(this.headerNames.rateLimit());
		if (value == null) {
			return headers.contains(this.headerNames.signature()) ? Optional.of(RateLimit.NONE) : Optional.empty();
		}
		try {
			return Optional.of(new RateLimit(Double.parseDouble(value)));
		}
		catch (IllegalArgumentException ex) {
			logger.debugf("event=backend-limit-unreadable value=\"%s\"", value);
			return Optional.empty();
		}
	}

	/**
	 * Derives the result of a call from the response. A call is reported as not run only
	 * if the server states that in its response.
	 * @param response complete response
	 * @return the result
	 */
	CallResult result(BackendResponse response) {
		int status = response.head().status().code();
		HttpHeaders headers = response.head().headers();
		if (status == STATUS_MISDIRECTED_REQUEST) {
			return new CallResult.Refused(GateRefusal.WRONG_INSTANCE, true);
		}
		if (headers.contains(this.headerNames.notExecuted())) {
			return new CallResult.Refused(GateRefusal.SHED, true);
		}
		if (!headers.contains(this.headerNames.signature())) {
			return new CallResult.Failed("answer-without-signature status=" + status);
		}
		if (headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
			return new CallResult.Failed("answer-encoded");
		}
		return new CallResult.Answered(status, HeaderBlock.endToEnd(headers, Set.of()), response.body());
	}

}
