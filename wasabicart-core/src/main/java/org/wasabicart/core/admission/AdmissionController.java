package org.wasabicart.core.admission;

import org.wasabicart.core.model.RequestContext;

/**
 * Controls admission to one backend server. Implementations are safe for use by several
 * threads and invoke listeners outside their locks.
 */
public interface AdmissionController {

	/**
	 * Offers a call. The listener is invoked exactly once, now or later.
	 * @param context context of the call
	 * @param bytes size of the call's body
	 * @param listener receives the decision
	 */
	void offer(RequestContext context, long bytes, AdmissionListener listener);

	/**
	 * Withdraws a queued call that its caller has cancelled. Its listener is then not
	 * invoked. Has no effect on a call that was already decided.
	 * @param listener the listener that was passed to {@code offer}
	 * @return whether the call was queued and is now withdrawn
	 */
	boolean withdraw(AdmissionListener listener);

	/**
	 * Reports the end of an admitted call and admits queued calls into the free slots.
	 * @param permit permit of the call
	 * @param sample measurement of the call
	 */
	void finished(AdmissionPermit permit, CallSample sample);

	/**
	 * Refuses expired queued calls and updates the threshold. Must be called every few
	 * milliseconds.
	 */
	void tick();

	/**
	 * Returns the current threshold, which responses carry back to the callers.
	 * @return the lowest admitted priority
	 */
	int threshold();

	/**
	 * Returns the state for metrics and status.
	 * @return a consistent snapshot
	 */
	AdmissionStatus status();

}
