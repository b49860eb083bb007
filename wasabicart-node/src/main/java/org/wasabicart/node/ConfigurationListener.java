package org.wasabicart.node;

import org.wasabicart.core.model.ConfigurationSnapshot;

/**
 * Is notified of each configuration that comes into force on this node.
 */
@FunctionalInterface
public interface ConfigurationListener {

	/**
	 * Invoked after a configuration came into force, in the order of revisions and on the
	 * thread that adopted it. Must not block.
	 * @param snapshot configuration in force
	 */
	void adopted(ConfigurationSnapshot snapshot);

}
