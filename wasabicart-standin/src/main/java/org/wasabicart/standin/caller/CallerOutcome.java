package org.wasabicart.standin.caller;

import java.util.Locale;

/**
 * How a request ended for its caller.
 */
public enum CallerOutcome {

	/** The whole answer to the request arrived. */
	COMPLETED,

	/** Every attempt was refused without being run. */
	REFUSED,

	/** An attempt ran and failed. */
	FAILED,

	/** No attempt is known to have run, but a response left open whether one did. */
	UNKNOWN,

	/** An attempt got no response, and all others were refused. */
	TIMED_OUT,

	/** The answer belongs to another request or was altered. */
	WRONG_ANSWER,

	/** A successful response carried an incomplete answer. */
	PARTIAL_ANSWER;

	/**
	 * Returns the name for reports.
	 * @return the name in kebab-case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
