package org.wasabicart.core.mesh;

/**
 * What a backend server or its node says about new work.
 */
public enum ServerState {

	/** Takes new work. */
	READY,

	/** Finishes its work and takes no new work. */
	DRAINING

}
