package org.wasabicart.core.mesh;

/**
 * Why the backend server did not run a call.
 */
public enum GateRefusal {

	/** No slot becomes free early enough. */
	OVERLOADED,

	/** The rate limit of the server does not admit the call early enough. */
	RATE_LIMITED,

	/** The deadline has passed or is too close. */
	EXPIRED,

	/** The call waited while the node beside the server was paused, and is too old. */
	DELAYED,

	/** The server takes no new work. */
	DRAINING,

	/** The server is not the expected incarnation, or is not known. */
	WRONG_INSTANCE,

	/** The server accepts no connection. */
	UNREACHABLE,

	/** The call cannot be written as a request. */
	MALFORMED,

	/** The server answered that it did not run the call. */
	SHED,

	/** The caller no longer waits for the answer. */
	CANCELLED

}
