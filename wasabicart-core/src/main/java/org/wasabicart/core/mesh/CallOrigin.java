package org.wasabicart.core.mesh;

/**
 * Kind of caller that sends the calls of a route, as observed by a node.
 */
public enum CallOrigin {

	/** Too few calls were observed. */
	UNKNOWN,

	/** Callers outside the call graph. */
	OUTSIDE,

	/** Backend servers, as part of a request that they run. */
	NESTED

}
