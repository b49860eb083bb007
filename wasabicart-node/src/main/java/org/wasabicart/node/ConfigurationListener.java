package org.wasabicart.node;

import org.wasabicart.core.model.ConfigurationSnapshot;

/**
 * Is told of each configuration that comes into force on this node.
 */
@FunctionalInterface
public interface ConfigurationListener {

	/**
	 * A configuration came into force. Invoked in the order of revisions, on the thread
	 * that adopted it; must not block.
	 * @param snapshot configuration in force
	 */
	void inForce(ConfigurationSnapshot snapshot);

}
