package org.wasabicart.core.order;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * State of a ticket at one node.
 */
public enum TicketState {

	/** Not known: never seen, or expired. */
	ABSENT,

	/** Given to a caller, not begun. */
	RESERVED,

	/** Begun, not finished. */
	RUNNING,

	/** Ended; the result is kept for a while. */
	FINISHED,

	/** Will never begin at this node. */
	BARRED,

	/** The table had no room to record the answer, so nothing can be concluded. */
	UNDETERMINED;

	/**
	 * Returns the name for the link and for callers.
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
