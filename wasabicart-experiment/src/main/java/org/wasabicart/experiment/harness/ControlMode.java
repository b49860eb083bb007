package org.wasabicart.experiment.harness;

import java.util.Locale;

/**
 * Overload control that the nodes of a deployment apply.
 */
public enum ControlMode {

	/** Baseline: no limit, and plain retries at each hop. */
	NONE,

	/** Baseline: fixed concurrency limit and plain retries at each hop. */
	FIXED,

	/** Adaptive limits, thresholds, early refusal and bounded retries. */
	WASABICART;

	/**
	 * Returns the value of the node's {@code --control} flag, which is also the name of
	 * the report's field.
	 * @return the name in lower case
	 */
	public String flag() {
		return name().toLowerCase(Locale.ROOT);
	}

}
