package org.wasabicart.node.link;

import org.wasabicart.core.link.BodyAssembler;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.wire.generated.link.Call;

/**
 * One stream that a peer opened. Confined to the channel's event loop.
 */
final class ServerStream {

	private final long number;

	private final Call call;

	private final BodyAssembler assembler;

	private CallHandle runningCall;

	private boolean responded;

	// Both call and assembler are null for a control request. The assembler is null as
	// well for a call that is refused before its body arrives.
	ServerStream(long number, Call call, BodyAssembler assembler) {
		this.number = number;
		this.call = call;
		this.assembler = assembler;
	}

	long number() {
		return this.number;
	}

	Call call() {
		return this.call;
	}

	// Assembler of the call's body, or null if no body is received.
	BodyAssembler assembler() {
		return this.assembler;
	}

	// Whether the end of the body is still to come.
	boolean receiving() {
		return this.assembler != null && this.runningCall == null && !this.responded;
	}

	void setRunningCall(CallHandle callHandle) {
		this.runningCall = callHandle;
	}

	boolean responded() {
		return this.responded;
	}

	void markResponded() {
		this.responded = true;
	}

	void cancel() {
		if (this.runningCall != null && !this.responded) {
			this.runningCall.cancel();
		}
	}

}
