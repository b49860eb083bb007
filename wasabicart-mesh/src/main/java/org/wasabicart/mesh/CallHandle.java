package org.wasabicart.mesh;

/**
 * Handle to a call in progress.
 */
@FunctionalInterface
interface CallHandle {

	/**
	 * Cancels the call, whose result is no longer needed. The listener is not invoked
	 * afterwards.
	 */
	void cancel();

}
