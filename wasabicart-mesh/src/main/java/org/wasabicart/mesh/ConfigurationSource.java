package org.wasabicart.mesh;

import java.util.function.Consumer;

/**
 * Another node from which the configuration can be read.
 */
@FunctionalInterface
interface ConfigurationSource {

	/**
	 * Reads the configuration in force at the other node.
	 * @param listener receives the value as the store holds it, or null if the other node
	 * has not returned it
	 */
	void read(Consumer<byte[]> listener);

}
