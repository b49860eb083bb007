package org.wasabicart.experiment.harness;

/**
 * Signals that experiments send to processes.
 */
public enum ProcessSignal {

	/** Asks the process to end. */
	TERM,

	/** Ends the process immediately. */
	KILL,

	/** Suspends the process. */
	STOP,

	/** Resumes a suspended process. */
	CONT

}
