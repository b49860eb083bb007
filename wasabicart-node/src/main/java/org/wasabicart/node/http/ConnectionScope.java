package org.wasabicart.node.http;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.wasabicart.node.peer.CallHandle;

/**
 * Calls in progress on one HTTP connection. They are cancelled when the caller
 * disconnects.
 */
final class ConnectionScope {

	private final Set<CallHandle> calls = new HashSet<>();

	private boolean closed;

	void add(CallHandle call) {
		synchronized (this) {
			if (!this.closed) {
				this.calls.add(call);
				return;
			}
		}
		call.cancel();
	}

	synchronized void remove(CallHandle call) {
		this.calls.remove(call);
	}

	void close() {
		List<CallHandle> remaining;
		synchronized (this) {
			this.closed = true;
			remaining = List.copyOf(this.calls);
			this.calls.clear();
		}
		remaining.forEach(CallHandle::cancel);
	}

}
