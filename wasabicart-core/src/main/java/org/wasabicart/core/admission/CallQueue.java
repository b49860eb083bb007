package org.wasabicart.core.admission;

import java.util.function.Consumer;

/**
 * Queue of calls that wait for a slot. Used under the controller's lock.
 */
interface CallQueue {

	/**
	 * Adds a call. To make room, the queue may drop calls that are less important.
	 * @param call call
	 * @param capacityBytes highest number of bytes in the queue
	 * @param now the ticker's time
	 * @param dropped receives each call that is dropped, possibly the new one
	 */
	void add(QueuedCall call, long capacityBytes, long now, Consumer<QueuedCall> dropped);

	/**
	 * Removes the call to run next. Never returns an expired call.
	 * @param now the ticker's time
	 * @param dropped receives each expired call that is dropped
	 * @return the call, or null if the queue is empty
	 */
	QueuedCall poll(long now, Consumer<QueuedCall> dropped);

	/**
	 * Drops the expired calls.
	 * @param now the ticker's time
	 * @param dropped receives each of them
	 */
	void expire(long now, Consumer<QueuedCall> dropped);

	/**
	 * Removes a call.
	 * @param listener listener of the call
	 * @return whether the call was in the queue
	 */
	boolean remove(AdmissionListener listener);

	int size();

	/**
	 * Returns the number of calls at or above a priority.
	 * @param priority lowest priority of an importance
	 * @return number of calls
	 */
	int sizeAtOrAbove(int priority);

	long bytes();

}
