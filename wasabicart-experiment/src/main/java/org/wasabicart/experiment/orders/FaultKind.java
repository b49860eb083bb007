package org.wasabicart.experiment.orders;

/**
 * Faults that the experiment injects, by signals to the nodes' processes and by the fault
 * control of the store.
 */
enum FaultKind {

	/** The node's process is killed and restarted. */
	NODE_KILLED,

	/** The node's process is suspended and resumed. */
	NODE_PAUSED,

	/** The node's process receives SIGTERM, drains, and is restarted. */
	NODE_DRAINED,

	/** The store does not respond. */
	STORE_DOWN,

	/** The store performs writes, but their responses are lost. */
	STORE_RESPONSES_LOST

}
