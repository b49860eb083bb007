package org.wasabicart.mesh;

import java.util.Objects;
import java.util.Set;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

import org.wasabicart.core.mesh.GateRefusal;
import org.wasabicart.wire.generated.mesh.MeshHeader;

/**
 * Translates calls to requests for a backend server, and its answers to outcomes.
 */
final class BackendMessages {

	private static final int STATUS_MISDIRECTED = 421;

	private final CallHeaders names;

	BackendMessages(CallHeaders names) {
		this.names = Objects.requireNonNull(names, "names");
	}

	FullHttpRequest request(Call call, long remainingMilliseconds) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()),
				call.target(), Unpooled.wrappedBuffer(call.body()));
		HttpHeaders headers = request.headers();
		for (MeshHeader field : call.headers()) {
			headers.add(field.getName(), field.getValue());
		}
		if (call.body().length > 0 || HttpMethod.POST.equals(request.method())
				|| HttpMethod.PUT.equals(request.method())) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		}
		headers.set(this.names.deadline(), remainingMilliseconds);
		headers.set(this.names.expectedInstance(), call.instance());
		headers.set(this.names.callerService(), call.callerService());
		return request;
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
		return new CallResult.Answered(status, HttpFields.endToEnd(headers, Set.of()), answer.body());
	}

}
