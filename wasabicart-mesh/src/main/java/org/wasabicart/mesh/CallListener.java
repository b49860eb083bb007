package org.wasabicart.mesh;

/**
 * Receives the result of a call.
 */
@FunctionalInterface
interface CallListener {

	/**
	 * The call has ended. Invoked once, on the event loop.
	 * @param result result
	 */
	void ended(CallResult result);

}
