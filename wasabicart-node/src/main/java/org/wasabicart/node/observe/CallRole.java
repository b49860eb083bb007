package org.wasabicart.node.observe;

import java.util.Locale;

/**
 * Side of the request path on which a call is observed.
 */
public enum CallRole {

	/** Root request of a caller at its entry node. */
	ROOT,

	/** Nested call of the local backend server. */
	NESTED,

	/** Call for the local backend server at its serving node. */
	SERVED;

	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
