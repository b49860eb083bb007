package org.wasabicart.core.admission;

import org.wasabicart.core.model.RequestContext;

/**
 * A call that waits for a slot.
 */
final class QueuedCall {

	/** Bytes counted for a call in addition to its body. */
	static final long OVERHEAD_BYTES = 512;

	private final RequestContext context;

	private final int priority;

	private final long bytes;

	private final long arrival;

	private final long queueTime;

	/** Time from arrival after which the call must not run. */
	private final long lifetime;

	private final AdmissionListener listener;

	private boolean queued;

	QueuedCall(RequestContext context, int priority, long bodyBytes, long arrival, long queueTime,
			AdmissionListener listener) {
		this.context = context;
		this.priority = priority;
		this.bytes = OVERHEAD_BYTES + bodyBytes;
		this.arrival = arrival;
		this.queueTime = queueTime;
		this.lifetime = Math.min(queueTime, context.remainingNanoseconds(arrival));
		this.listener = listener;
	}

	RequestContext context() {
		return this.context;
	}

	int priority() {
		return this.priority;
	}

	long bytes() {
		return this.bytes;
	}

	AdmissionListener listener() {
		return this.listener;
	}

	boolean queued() {
		return this.queued;
	}

	void enqueued() {
		this.queued = true;
	}

	void dequeued() {
		this.queued = false;
	}

	long queueTime() {
		return this.queueTime;
	}

	long expiryTime() {
		return this.arrival + this.lifetime;
	}

	long waited(long now) {
		return now - this.arrival;
	}

	/**
	 * Returns whether the call must not run any more.
	 * @param now the ticker's time
	 * @return whether its deadline or its queue time has passed
	 */
	boolean expired(long now) {
		return now - this.arrival >= this.lifetime;
	}

	boolean deadlinePassed(long now) {
		return this.context.remainingNanoseconds(now) <= 0;
	}

}
