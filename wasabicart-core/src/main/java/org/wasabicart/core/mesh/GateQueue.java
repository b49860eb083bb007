package org.wasabicart.core.mesh;

import java.util.List;

/**
 * Calls that wait for a slot of one server, in the order in which they get it.
 */
public interface GateQueue {

	/**
	 * Adds a call.
	 * @param entry call
	 * @param now current time in nanoseconds
	 */
	void add(GateEntry entry, long now);

	/**
	 * Removes a call that gets no slot.
	 * @param entry call
	 * @return whether the call was waiting
	 */
	boolean remove(GateEntry entry);

	/**
	 * Returns the call that gets the next slot.
	 * @param now current time in nanoseconds
	 * @return the call, which stays in the queue
	 */
	GateEntry first(long now);

	/**
	 * Removes a call that gets a slot.
	 * @param entry call that {@link #first} has returned
	 */
	void admitted(GateEntry entry);

	/**
	 * Returns the place that a call would get in the queue.
	 * @param entry call that is not in the queue
	 * @param now current time in nanoseconds
	 * @return the place, 1 for the next slot
	 */
	long position(GateEntry entry, long now);

	/**
	 * Removes the calls whose latest start has passed.
	 * @param now current time in nanoseconds
	 * @return the calls
	 */
	List<GateEntry> removeExpired(long now);

	/**
	 * Removes all calls.
	 * @return the calls
	 */
	List<GateEntry> clear();

	/**
	 * Returns the number of calls.
	 * @return the number
	 */
	int size();

	/**
	 * Returns whether no call waits.
	 * @return whether the queue is empty
	 */
	default boolean isEmpty() {
		return size() == 0;
	}

}
