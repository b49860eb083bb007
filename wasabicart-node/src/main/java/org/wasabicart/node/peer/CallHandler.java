package org.wasabicart.node.peer;

/**
 * Serves calls that arrive from peers.
 */
@FunctionalInterface
public interface CallHandler {

	/**
	 * Serves one call. Invoked on a thread of the transport that must not be blocked.
	 * @param request call with its whole body
	 * @param listener to be invoked exactly once with the response
	 * @return handle that the transport uses to cancel the call when the peer cancels it
	 * or its link ends
	 */
	PeerCall handle(CallRequest request, PeerCallListener listener);

}
