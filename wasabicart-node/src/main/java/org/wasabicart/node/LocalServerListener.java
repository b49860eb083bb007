package org.wasabicart.node;

/**
 * Is told when the local backend server or the state of this node changes.
 */
@FunctionalInterface
public interface LocalServerListener {

	/**
	 * The announcement or the node's state has changed. Read the new values from the
	 * holder. Must not block.
	 */
	void changed();

}
