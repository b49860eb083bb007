package org.wasabicart.node.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Sends calls and control requests to other nodes. Safe for use by several threads.
 */
public interface PeerTransport {

	/**
	 * Sends a call. The listener is invoked exactly once, on a thread of the transport
	 * that must not be blocked. If the transport itself ends the call as {@code Refused},
	 * the end of its body was not written to the connection. The receiver runs nothing
	 * before that end, so the call cannot have run.
	 * @param address advertised address of the peer
	 * @param request call to send
	 * @param listener receives the response
	 * @return handle to cancel the call
	 */
	CallHandle send(NodeAddress address, CallRequest request, CallListener listener);

	/**
	 * Sends a control request.
	 * @param address advertised address of the peer
	 * @param request request; its number is set by the transport
	 * @param timeout time after which the future fails
	 * @return the response; fails with an {@code IOException} if none arrives
	 */
	CompletableFuture<ControlResponse> sendControlRequest(NodeAddress address, ControlRequest request,
			Duration timeout);

}
