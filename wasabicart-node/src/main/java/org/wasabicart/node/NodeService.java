package org.wasabicart.node;

import java.io.IOException;

/**
 * Part of a node that is started and stopped with it, such as links and membership.
 */
public interface NodeService extends AutoCloseable {

	/**
	 * Starts the service.
	 * @throws IOException if it cannot start, for example because an address is in use
	 */
	void start() throws IOException;

	/**
	 * Stops the service. Invoked after the node has drained.
	 */
	@Override
	void close();

}
