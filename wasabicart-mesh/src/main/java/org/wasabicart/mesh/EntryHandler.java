package org.wasabicart.mesh;

import java.net.SocketAddress;
import java.util.function.Consumer;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Handles the requests of callers.
 */
@FunctionalInterface
interface EntryHandler {

	/**
	 * Handles one request.
	 * @param request request, which is released after this method returns
	 * @param arrival time in nanoseconds at which the request was read
	 * @param caller address of the caller
	 * @param listener receives the response, possibly before this method returns
	 * @return handle to cancel the request when the caller disconnects
	 */
	CallHandle handle(FullHttpRequest request, long arrival, SocketAddress caller, Consumer<EntryResponse> listener);

}
