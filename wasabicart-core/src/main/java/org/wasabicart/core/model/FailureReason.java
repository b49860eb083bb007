package org.wasabicart.core.model;

import java.util.Locale;

/**
 * Reason why a request that ran, or may have run, did not complete.
 */
public enum FailureReason {

	/** The deadline passed while the request may have been running. */
	TIMEOUT,

	/** The connection broke after bytes of the request were sent. */
	CONNECTION_LOST,

	/** The response was truncated or its length was wrong. */
	INCOMPLETE_ANSWER,

	/** The backend server responded with an error. */
	BACKEND_ERROR,

	/** The caller cancelled while the request may have been running. */
	CANCELLED,

	/** The home node of the ticket restarted or cannot be reached. */
	HOME_LOST,

	/** The retained result has expired. */
	RESULT_EXPIRED;

	/**
	 * Returns the name that is used in headers, logs and metrics.
	 * @return the name in kebab-case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
