package org.wasabicart.experiment.harness;

import java.util.Locale;

/**
 * How the nodes of a deployment control overload.
 */
public enum ControlMode {

	/** No control, and plain retries at each hop. */
	NONE,

	/** A fixed limit, and plain retries at each hop. */
	FIXED,

	/** The project's control. */
	WASABICART;

	/**
	 * Returns the value of the node's flag and the report's field.
	 * @return the name in lower case
	 */
	public String flag() {
		return name().toLowerCase(Locale.ROOT);
	}

}
