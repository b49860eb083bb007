package org.wasabicart.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Queued calls of one tenant in order of arrival.
 */
final class TenantQueue {

	/** Calls by which the deque may exceed twice the size before it is compacted. */
	private static final int COMPACTION_SLACK = 16;

	private final Deque<QueuedCall> calls = new ArrayDeque<>();

	private int size;

	private long bytes;

	/** Virtual time of start-time fair queueing, in calls divided by the share. */
	private double virtualTime;

	boolean isEmpty() {
		return this.size == 0;
	}

	int size() {
		return this.size;
	}

	long bytes() {
		return this.bytes;
	}

	double virtualTime() {
		return this.virtualTime;
	}

	void startAt(double classVirtualTime) {
		this.virtualTime = Math.max(this.virtualTime, classVirtualTime);
	}

	/**
	 * Advances the virtual time. Must not be called while the tenant is in a collection
	 * that is ordered by it.
	 * @param amount amount to add
	 */
	void advance(double amount) {
		this.virtualTime += amount;
	}

	void add(QueuedCall call) {
		this.calls.addLast(call);
		this.size++;
		this.bytes += call.bytes();
	}

	QueuedCall oldest() {
		while (!this.calls.peekFirst().queued()) {
			this.calls.pollFirst();
		}
		return this.calls.peekFirst();
	}

	QueuedCall newest() {
		while (!this.calls.peekLast().queued()) {
			this.calls.pollLast();
		}
		return this.calls.peekLast();
	}

	void removed(QueuedCall call) {
		this.size--;
		this.bytes -= call.bytes();
		if (this.calls.peekFirst() == call) {
			this.calls.pollFirst();
		}
		else if (this.calls.peekLast() == call) {
			this.calls.pollLast();
		}
		else if (this.calls.size() > 2 * this.size + COMPACTION_SLACK) {
			this.calls.removeIf((other) -> !other.queued());
		}
		if (this.size == 0) {
			this.calls.clear();
		}
	}

}
