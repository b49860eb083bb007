package org.wasabicart.mesh.capacity;

import org.wasabicart.core.capacity.CapacityChange;

/**
 * Receives what a node learns about the capacity of its backend server.
 */
public interface CapacityListener {

	/**
	 * The capacity has changed in a way that matters.
	 * @param instance id of the server
	 * @param change change
	 */
	void changed(String instance, CapacityChange change);

	/**
	 * The current values, once for each tick.
	 * @param limit calls that the server runs well at the same time, 0 if unknown
	 * @param speed speed relative to a typical server, 0 if unknown
	 * @param serviceTime expected time for which a call holds a slot, in nanoseconds, 0
	 * if unknown
	 * @param age time since the last change in nanoseconds
	 */
	void observed(int limit, double speed, long serviceTime, long age);

	/**
	 * The other nodes of the region must be told of the load at once.
	 */
	void noticeDue();

}
