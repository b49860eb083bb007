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
	 * @param request request; valid until this returns
	 * @param caller address of the caller
	 * @param listener receives the answer, at once or later
	 * @return handle to invoke when the caller has left
	 */
	CallHandle handle(FullHttpRequest request, SocketAddress caller, Consumer<EntryAnswer> listener);

}
