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
 * One call or control request on its way. Confined to the event loop of its peer. Ends
 * exactly once.
 */
abstract class ClientStream {

	private ClientLink link;

	private long number;

	private boolean endSent;

	private boolean finished;

	private Future<?> timer;

	private Response head;

	private BodyAssembler assembler;

	// First frame of the stream.
	abstract Frame frame(long epoch, long stream, long nowNanoseconds);

	abstract byte[] body();

	// The whole response has arrived.
	abstract void succeed(Response response, byte[] responseBody);

	// The peer cannot have run it, because the end of the body was not sent.
	abstract void notRun(RefusalReason reason);

	// The peer may have run it.
	abstract void lost(FailureReason reason);

	final void opened(ClientLink openedOn, long stream) {
		this.link = openedOn;
		this.number = stream;
	}

	final long number() {
		return this.number;
	}

	final void timer(Future<?> scheduled) {
		this.timer = scheduled;
	}

	final void endSent() {
		this.endSent = true;
	}

	final boolean finished() {
		return this.finished;
	}

	final boolean hasHead() {
		return this.head != null;
	}

	final int announcedBytes() {
		return (this.head != null) ? (int) this.head.getBodyBytes() : 0;
	}

	final void head(Response response, int windowBytes) {
		this.head = response;
		this.assembler = new BodyAssembler((int) response.getBodyBytes(), windowBytes);
	}

	final BodyState chunk(Chunk chunk) {
		return this.assembler.add(chunk.getOffset(), chunk.getData().toByteArray(), chunk.getEnd());
	}

	final int takeGrant() {
		return this.assembler.takeGrant();
	}

	final void complete() {
		if (finish()) {
			succeed(this.head, this.assembler.body());
		}
	}

	// Ends the stream without a response, and tells the peer if it knows of the stream.
	final void abort(RefusalReason refusal, FailureReason failure) {
		if (!this.finished && this.link != null) {
			this.link.forget(this);
		}
		end(refusal, failure);
	}

	final void end(RefusalReason refusal, FailureReason failure) {
		if (!finish()) {
			return;
		}
		if (this.endSent) {
			lost(failure);
		}
		else {
			notRun(refusal);
		}
	}

	final boolean finish() {
		if (this.finished) {
			return false;
		}
		this.finished = true;
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		return true;
	}

}
