package org.wasabicart.core.mesh;

/**
 * Who calls a route, as far as a node can tell.
 */
public enum CallOrigin {

	/** Too few calls are known. */
	UNKNOWN,

	/** Callers outside the call graph. */
	OUTSIDE,

	/** Backend servers, while they run requests. */
	NESTED

}
