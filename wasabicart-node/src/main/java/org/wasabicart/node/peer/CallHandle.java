package org.wasabicart.node.peer;

/**
 * Handle to cancel a call.
 */
@FunctionalInterface
public interface CallHandle {

	/**
	 * Cancels the call. Has no effect once the call has ended.
	 */
	void cancel();

}
