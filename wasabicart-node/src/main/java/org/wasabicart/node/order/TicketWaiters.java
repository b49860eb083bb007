package org.wasabicart.node.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallResponse;

/**
 * Listeners of requests whose order was already begun by an earlier request and is still
 * running. Safe for use by several threads.
 */
final class TicketWaiters {

	private static final int MAXIMUM_PER_TICKET = 16;

	private final Map<String, List<CallListener>> waiters = new HashMap<>();

	synchronized boolean add(String ticket, CallListener listener) {
		List<CallListener> listeners = this.waiters.computeIfAbsent(ticket, (key) -> new ArrayList<>());
		return listeners.size() < MAXIMUM_PER_TICKET && listeners.add(listener);
	}

	/**
	 * Removes a listener.
	 * @param ticket ticket of the order
	 * @param listener listener to remove
	 * @return whether it was still waiting
	 */
	synchronized boolean remove(String ticket, CallListener listener) {
		List<CallListener> listeners = this.waiters.get(ticket);
		boolean removed = listeners != null && listeners.remove(listener);
		if (removed && listeners.isEmpty()) {
			this.waiters.remove(ticket);
		}
		return removed;
	}

	void finished(String ticket, CallResponse response) {
		List<CallListener> listeners;
		synchronized (this) {
			listeners = this.waiters.remove(ticket);
		}
		if (listeners != null) {
			listeners.forEach((listener) -> listener.finished(response));
		}
	}

}
