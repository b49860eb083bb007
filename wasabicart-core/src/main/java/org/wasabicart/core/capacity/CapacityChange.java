package org.wasabicart.core.capacity;

import java.util.Objects;

/**
 * A change of what is known about the capacity of a server.
 *
 * @param reason reason
 * @param limit calls that the server runs well at the same time
 * @param speed speed relative to a typical server of the service, 0 if unknown
 * @param serviceTime expected time for which a call holds a slot, in nanoseconds, 0 if
 * unknown
 * @param time time of the change in nanoseconds
 */
public record CapacityChange(Reason reason, int limit, double speed, long serviceTime, long time) {

	public CapacityChange {
		Objects.requireNonNull(reason, "reason");
	}

	/**
	 * Reason of a change.
	 */
	public enum Reason {

		/** Nothing is known yet. */
		STARTED,

		/** Enough calls have ended. */
		LEARNED,

		/** Calls take longer, or are overdue. */
		SLOWER,

		/** Calls take less time. */
		FASTER,

		/** More concurrent calls only added time. */
		CROWDED,

		/** Higher concurrency is tried again, or no longer adds time. */
		LIMIT_RESTORED

	}

}
