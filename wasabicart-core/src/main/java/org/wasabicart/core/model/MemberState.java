package org.wasabicart.core.model;

/**
 * State that a node announces for itself and its backend server.
 */
public enum MemberState {

	/** The node has joined, and its backend server does not accept calls yet. */
	STARTING,

	/** The backend server accepts calls. */
	SERVING,

	/** The backend server finishes running calls and accepts no new ones. */
	DRAINING

}
