package org.wasabicart.core.mesh;

/**
 * How a request ended that was let through at the entry, as far as it tells of the
 * capacity.
 */
public enum RequestEnd {

	/** Answered, or failed for a reason other than load. */
	SERVED,

	/** Refused by the gates of the servers that it was placed at, before any work. */
	REFUSED,

	/**
	 * Refused by a server although its gate had a slot: fewer requests would be refused
	 * alike.
	 */
	SHED,

	/**
	 * Failed after a server had worked on it: a call that it made was refused or late.
	 */
	WASTED

}
