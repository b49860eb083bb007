package org.wasabicart.node.peer;

/**
 * Handles calls that arrive from peers.
 */
@FunctionalInterface
public interface CallHandler {

	/**
	 * Handles one call. Invoked on a thread of the transport that must not be blocked.
	 * @param request call with its whole body
	 * @param listener to be invoked exactly once with the response
	 * @return handle with which the transport cancels the call when the peer cancels it
	 * or its link closes
	 */
	CallHandle handle(CallRequest request, CallListener listener);

}
