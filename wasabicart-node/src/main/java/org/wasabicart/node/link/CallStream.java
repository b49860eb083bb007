package org.wasabicart.node.link;

import java.time.Duration;

import org.jboss.logging.Logger;

import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.wire.WireFormatException;
import org.wasabicart.wire.generated.link.Frame;
import org.wasabicart.wire.generated.link.Response;

/**
 * Stream of a call.
 */
final class CallStream extends ClientStream {

	private static final Logger logger = Logger.getLogger(CallStream.class);

	private final CallRequest request;

	private final CallListener listener;

	CallStream(CallRequest request, CallListener listener) {
		this.request = request;
		this.listener = listener;
	}

	@Override
	Frame headFrame(long epoch, long stream, long nowNanoseconds) {
		return Frame.newBuilder().setCall(CallCodec.toCall(this.request, epoch, stream, nowNanoseconds)).build();
	}

	@Override
	byte[] body() {
		return this.request.body();
	}

	@Override
	void succeed(Response response, byte[] responseBody) {
		try {
			notifyListener(CallCodec.toResponse(response, responseBody));
		}
		catch (WireFormatException ex) {
			logger.debugf("event=response-malformed request=%s reason=\"%s\"", this.request.context().root(),
					ex.getMessage());
			fail(FailureReason.INCOMPLETE_ANSWER);
		}
	}

	@Override
	void refuse(RefusalReason reason) {
		int allowance = this.request.context().retryAllowance();
		notifyListener(CallResponse.withoutBody(new Outcome.Refused(reason, Duration.ZERO), allowance));
	}

	@Override
	void fail(FailureReason reason) {
		notifyListener(CallResponse.withoutBody(new Outcome.Failed(reason, false), 0));
	}

	private void notifyListener(CallResponse response) {
		try {
			this.listener.finished(response);
		}
		catch (RuntimeException ex) {
			logger.errorf(ex, "event=listener-failed request=%s", this.request.context().root());
		}
	}

}
