package org.wasabicart.mesh.workspace;

import java.util.Locale;

/**
 * Why a request is rejected that needs a key.
 */
public enum RejectionReason {

	/** The request has no key. */
	MISSING,

	/**
	 * No workspace has the key, it was withdrawn, or two workspaces claim it.
	 */
	UNKNOWN,

	/** The header field does not contain one key of the expected scheme. */
	MALFORMED,

	/** The request has the header field more than once. */
	DOUBLED;

	/**
	 * Returns the name for log lines.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
