package org.wasabicart.node;

/**
 * Is notified when the local backend server or the state of this node changes.
 */
@FunctionalInterface
public interface LocalServerListener {

	/**
	 * Invoked after the announcement or the node's state changed. The new values are read
	 * from the {@link LocalServerHolder}. Must not block.
	 */
	void changed();

}
