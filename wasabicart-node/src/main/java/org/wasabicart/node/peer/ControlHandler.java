package org.wasabicart.node.peer;

import java.util.concurrent.CompletableFuture;

import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Handles control requests that arrive from peers.
 */
@FunctionalInterface
public interface ControlHandler {

	/**
	 * Handles one control request.
	 * @param request request
	 * @return the response; its number is set by the transport
	 */
	CompletableFuture<ControlResponse> handle(ControlRequest request);

}
