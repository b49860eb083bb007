package org.wasabicart.mesh;

/**
 * Receives the outcome of one call.
 */
@FunctionalInterface
interface CallListener {

	/**
	 * The call has ended. Invoked once, on the event loop.
	 * @param result outcome
	 */
	void ended(CallResult result);

}
