package org.wasabicart.core.model;

/**
 * Whether a request of a kind may run more than once.
 */
public enum Execution {

	/** Running twice has the same effect as running once. */
	IDEMPOTENT,

	/** Runs at most once. */
	ORDER

}
