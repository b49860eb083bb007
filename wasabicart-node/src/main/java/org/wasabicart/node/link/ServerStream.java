package org.wasabicart.node.link;

import org.wasabicart.core.link.BodyAssembler;
import org.wasabicart.node.peer.PeerCall;
import org.wasabicart.wire.generated.link.Call;

/**
 * One stream that a peer opened. Confined to the channel's event loop.
 */
final class ServerStream {

	private final long number;

	private final Call call;

	private final BodyAssembler assembler;

	private PeerCall running;

	private boolean responded;

	// Creates a stream for a call, or for a control request if the arguments are null.
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

	// Assembler of the body, or null once the body is whole.
	BodyAssembler assembler() {
		return this.assembler;
	}

	boolean receiving() {
		return this.assembler != null && this.running == null && !this.responded;
	}

	void running(PeerCall peerCall) {
		this.running = peerCall;
	}

	boolean responded() {
		return this.responded;
	}

	void markResponded() {
		this.responded = true;
	}

	void cancel() {
		if (this.running != null && !this.responded) {
			this.running.cancel();
		}
	}

}
