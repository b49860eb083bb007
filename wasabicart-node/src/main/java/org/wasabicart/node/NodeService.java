package org.wasabicart.node;

import java.io.IOException;

/**
 * Part of a node that runs beside the request path, such as links and membership.
 */
public interface NodeService extends AutoCloseable {

	/**
	 * Starts the service.
	 * @throws IOException if it cannot start, such as for an address in use
	 */
	void start() throws IOException;

	/**
	 * Stops the service. Invoked once the node has drained.
	 */
	@Override
	void close();

}
