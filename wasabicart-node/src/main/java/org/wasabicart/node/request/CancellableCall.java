package org.wasabicart.node.request;

import org.wasabicart.node.peer.PeerCall;

/**
 * Handle of a call whose downstream handle becomes known later. A cancellation that comes
 * first is passed on as soon as the downstream handle is known.
 */
final class CancellableCall implements PeerCall {

	private PeerCall downstream;

	private boolean cancelled;

	/**
	 * Sets the downstream handle.
	 * @param call downstream handle
	 */
	void follow(PeerCall call) {
		synchronized (this) {
			this.downstream = call;
			if (!this.cancelled) {
				return;
			}
		}
		call.cancel();
	}

	synchronized boolean cancelled() {
		return this.cancelled;
	}

	@Override
	public void cancel() {
		PeerCall call;
		synchronized (this) {
			this.cancelled = true;
			call = this.downstream;
		}
		if (call != null) {
			call.cancel();
		}
	}

}
