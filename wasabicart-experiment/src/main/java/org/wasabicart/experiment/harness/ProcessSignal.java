package org.wasabicart.experiment.harness;

/**
 * Signals that experiments send.
 */
public enum ProcessSignal {

	/** Planned stop. */
	TERM,

	/** Immediate end. */
	KILL,

	/** Pause. */
	STOP,

	/** End of a pause. */
	CONT

}
