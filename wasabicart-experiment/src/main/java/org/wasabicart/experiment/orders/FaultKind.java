package org.wasabicart.experiment.orders;

/**
 * Faults that the experiment produces with signals and the store's fault control.
 */
enum FaultKind {

	// The node's process is killed and started again.
	NODE_KILLED,

	// The node's process is stopped and continued.
	NODE_PAUSED,

	// The node's process is asked to stop, drains, and is started again.
	NODE_DRAINED,

	// The store does not answer.
	STORE_DOWN,

	// The store writes and does not answer.
	STORE_RESPONSES_LOST

}
