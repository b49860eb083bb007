package org.wasabicart.core.order;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * State of a ticket at one node.
 */
public enum TicketState {

	/** Unknown to the node: never seen, expired or removed. */
	ABSENT,

	/** Issued to a caller, not begun. */
	RESERVED,

	/** Begun, not finished. */
	RUNNING,

	/** Finished; the result is retained for a limited time. */
	FINISHED,

	/** Will never begin at this node. */
	BARRED,

	/**
	 * The state cannot be determined, for example because a full table could not record
	 * that the ticket is barred.
	 */
	UNDETERMINED;

	/**
	 * Returns the name that is used on links and in responses to callers.
	 * @return the name in lower case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a state by its name.
	 * @param code name in lower case
	 * @return the state, or empty if this version does not know it
	 */
	public static Optional<TicketState> of(String code) {
		return Arrays.stream(values()).filter((state) -> state.code().equals(code)).findFirst();
	}

}
