package org.wasabicart.core.mesh;

/**
 * Outcome of a request that was admitted at the entry, as evidence of free or missing
 * capacity.
 */
public enum RequestOutcome {

	/** Answered, or failed for a reason other than load. */
	SERVED,

	/** Refused by the gates of the chosen servers, before any work was done. */
	REFUSED,

	/**
	 * Refused by a server although its gate had a free slot: sending fewer requests would
	 * not lower the share that the server refuses.
	 */
	SHED,

	/**
	 * Failed after a server had worked on it, since a nested call was refused or late.
	 */
	WASTED

}
