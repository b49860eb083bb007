package org.wasabicart.mesh;

import java.util.Objects;

/**
 * A call to the store has failed.
 */
public class MeshStoreException extends Exception {

	private static final long serialVersionUID = 1L;

	private final Kind kind;

	/**
	 * Creates an exception.
	 * @param kind kind of the failure
	 * @param message what happened
	 */
	public MeshStoreException(Kind kind, String message) {
		super(message);
		this.kind = Objects.requireNonNull(kind, "kind");
	}

	/**
	 * Returns the kind of the failure.
	 * @return the kind
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * Kinds of failures.
	 */
	public enum Kind {

		/** The store turned the call away and did nothing. */
		REJECTED,

		/** There is no answer; a write may have been done, or may be done later. */
		UNKNOWN,

		/** The key does not have the expected revision; nothing was written. */
		CONFLICT,

		/** The lease does not exist any more. */
		LEASE_ENDED,

		/** The history from the requested revision on is no longer kept. */
		HISTORY_LOST

	}

}
