package org.wasabicart.standin.caller;

import java.util.Locale;

/**
 * How a request ended for its caller.
 */
public enum CallerOutcome {

	/** The whole answer to the request arrived. */
	COMPLETED,

	/** Each attempt was refused as not run. */
	REFUSED,

	/** An attempt ran and failed. */
	FAILED,

	/** It is unknown whether an attempt ran. */
	UNKNOWN,

	/** No attempt was answered in time. */
	TIMED_OUT,

	/** An answer arrived that does not belong to the request. */
	WRONG_ANSWER,

	/** Part of an answer arrived as if it was whole. */
	PARTIAL_ANSWER;

	/**
	 * Returns the name for reports.
	 * @return the name in kebab-case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
