package org.wasabicart.core.admission;

import org.wasabicart.core.model.RequestContext;

/**
 * A call that waits for a slot.
 */
final class QueuedCall {

	/** Memory counted for a call in addition to its body, in bytes. */
	static final long OVERHEAD_BYTES = 512;

	private final RequestContext context;

	private final int priority;

	private final long bytes;

	private final long arrivalTime;

	private final long queueTimeNanoseconds;

	/** Time from arrival after which the call must not run. */
	private final long lifetimeNanoseconds;

	private final AdmissionListener listener;

	private boolean queued;

	QueuedCall(RequestContext context, int priority, long bodyBytes, long arrivalTime, long queueTimeNanoseconds,
			AdmissionListener listener) {
		this.context = context;
		this.priority = priority;
		this.bytes = OVERHEAD_BYTES + bodyBytes;
		this.arrivalTime = arrivalTime;
		this.queueTimeNanoseconds = queueTimeNanoseconds;
		this.lifetimeNanoseconds = Math.min(queueTimeNanoseconds, context.remainingNanoseconds(arrivalTime));
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

	long queueTimeNanoseconds() {
		return this.queueTimeNanoseconds;
	}

	long expiryTime() {
		return this.arrivalTime + this.lifetimeNanoseconds;
	}

	long waitingNanoseconds(long now) {
		return now - this.arrivalTime;
	}

	/**
	 * Returns whether the call must no longer run.
	 * @param now the ticker's time
	 * @return whether its deadline or its queue time has passed
	 */
	boolean expired(long now) {
		return now - this.arrivalTime >= this.lifetimeNanoseconds;
	}

	boolean deadlinePassed(long now) {
		return this.context.remainingNanoseconds(now) <= 0;
	}

}
