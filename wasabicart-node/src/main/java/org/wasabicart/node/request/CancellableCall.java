package org.wasabicart.node.request;

import org.wasabicart.node.peer.CallHandle;

/**
 * Handle of a call whose downstream handle is set later. A cancellation that arrives
 * before that is forwarded when the downstream handle is set.
 */
final class CancellableCall implements CallHandle {

	private CallHandle downstream;

	private boolean cancelled;

	/**
	 * Sets the downstream handle.
	 * @param call downstream handle
	 */
	void setDownstream(CallHandle call) {
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
		CallHandle call;
		synchronized (this) {
			this.cancelled = true;
			call = this.downstream;
		}
		if (call != null) {
			call.cancel();
		}
	}

}
