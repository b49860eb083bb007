package org.wasabicart.node.request;

import org.wasabicart.node.LocalServer;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallRequest;

/**
 * Sends calls to the local backend server.
 */
@FunctionalInterface
public interface BackendClient {

	/**
	 * Sends a call.
	 * @param server backend server
	 * @param request call to send
	 * @param listener receives the response and the end of the call
	 * @return handle to cancel the call
	 */
	CallHandle call(LocalServer server, CallRequest request, BackendListener listener);

}
