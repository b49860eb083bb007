package org.wasabicart.node.membership;

import org.wasabicart.core.model.Revision;

/**
 * Puts a configuration in force on the local node.
 */
@FunctionalInterface
public interface ConfigurationSink {

	/**
	 * Validates a configuration and puts it in force.
	 * @param revision its revision; higher than the one in force
	 * @param json its text, as it is in the store
	 * @return {@code true} if it is in force; {@code false} if it is not valid for this
	 * node
	 */
	boolean adopt(Revision revision, byte[] json);

}
