package org.wasabicart.node.link;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.InvalidProtocolBufferException;

import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;
import org.wasabicart.wire.generated.link.Frame;
import org.wasabicart.wire.generated.link.Response;

/**
 * Stream of a control request.
 */
final class ControlStream extends ClientStream {

	private static final byte[] NO_BODY = {};

	private final ControlRequest request;

	private final CompletableFuture<ControlResponse> result = new CompletableFuture<>();

	ControlStream(ControlRequest request) {
		this.request = request;
	}

	CompletableFuture<ControlResponse> result() {
		return this.result;
	}

	@Override
	Frame headFrame(long epoch, long stream, long nowNanoseconds) {
		return Frame.newBuilder().setControlRequest(this.request.toBuilder().setNumber(stream)).build();
	}

	@Override
	byte[] body() {
		return NO_BODY;
	}

	void completeWith(ControlResponse response) {
		if (markFinished()) {
			this.result.complete(response);
		}
	}

	@Override
	void succeed(Response response, byte[] responseBody) {
		try {
			this.result.complete(ControlResponse.parseFrom(responseBody));
		}
		catch (InvalidProtocolBufferException ex) {
			this.result.completeExceptionally(ex);
		}
	}

	@Override
	void refuse(RefusalReason reason) {
		this.result.completeExceptionally(new IOException("Control request was not sent: " + reason.code()));
	}

	@Override
	void fail(FailureReason reason) {
		this.result.completeExceptionally(new IOException("Control request has no response: " + reason.code()));
	}

}
