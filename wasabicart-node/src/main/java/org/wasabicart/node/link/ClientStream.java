package org.wasabicart.node.link;

import io.netty.util.concurrent.Future;

import org.wasabicart.core.link.BodyAssembler;
import org.wasabicart.core.link.BodyState;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.wire.generated.link.Chunk;
import org.wasabicart.wire.generated.link.Frame;
import org.wasabicart.wire.generated.link.Response;

/**
 * Stream that sends one call or control request and receives its response. Ends exactly
 * once. Confined to the event loop of its peer.
 */
abstract class ClientStream {

	private ClientLink link;

	private long number;

	private boolean endSent;

	private boolean finished;

	private Future<?> timeoutTask;

	private Response head;

	private BodyAssembler assembler;

	// Creates the first frame of the stream.
	abstract Frame headFrame(long epoch, long stream, long nowNanoseconds);

	abstract byte[] body();

	// Reports the whole response.
	abstract void succeed(Response response, byte[] responseBody);

	// Reports that the peer cannot have run the request, because the end of the body was
	// not sent.
	abstract void refuse(RefusalReason reason);

	// Reports a failure after which the peer may have run the request.
	abstract void fail(FailureReason reason);

	final void opened(ClientLink openedOn, long stream) {
		this.link = openedOn;
		this.number = stream;
	}

	final long number() {
		return this.number;
	}

	final void setTimeoutTask(Future<?> scheduled) {
		this.timeoutTask = scheduled;
	}

	final void markEndSent() {
		this.endSent = true;
	}

	final boolean finished() {
		return this.finished;
	}

	final boolean hasHead() {
		return this.head != null;
	}

	// Length of the response body, or zero before the head has arrived.
	final int announcedBodyBytes() {
		return (this.head != null) ? (int) this.head.getBodyBytes() : 0;
	}

	final void startResponse(Response response, int windowBytes) {
		this.head = response;
		this.assembler = new BodyAssembler((int) response.getBodyBytes(), windowBytes);
	}

	final BodyState addChunk(Chunk chunk) {
		return this.assembler.add(chunk.getOffset(), chunk.getData().toByteArray(), chunk.getEnd());
	}

	final int takeGrant() {
		return this.assembler.takeGrant();
	}

	final void complete() {
		if (markFinished()) {
			succeed(this.head, this.assembler.body());
		}
	}

	// Ends the stream without a response, and cancels it at the peer if it is open.
	final void abort(RefusalReason refusal, FailureReason failure) {
		if (!this.finished && this.link != null) {
			this.link.cancelStream(this);
		}
		end(refusal, failure);
	}

	// Ends the stream without a response: with the refusal if the end of the body was not
	// sent, or else with the failure.
	final void end(RefusalReason refusal, FailureReason failure) {
		if (!markFinished()) {
			return;
		}
		if (this.endSent) {
			fail(failure);
		}
		else {
			refuse(refusal);
		}
	}

	// Marks the stream as ended, and returns false if it had ended before.
	final boolean markFinished() {
		if (this.finished) {
			return false;
		}
		this.finished = true;
		if (this.timeoutTask != null) {
			this.timeoutTask.cancel(false);
		}
		return true;
	}

}
