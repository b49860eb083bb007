package org.wasabicart.node.settings;

/**
 * Overload control that a node applies.
 */
public enum ControlMode {

	/** Adaptive limits, thresholds, early refusal and bounded retries. */
	WASABICART,

	/** Baseline: fixed concurrency limit and plain retries at each hop. */
	FIXED,

	/** Baseline: no limit, and plain retries at each hop. */
	NONE

}
