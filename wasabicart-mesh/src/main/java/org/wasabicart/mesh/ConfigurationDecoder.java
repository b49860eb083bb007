package org.wasabicart.mesh;

import org.wasabicart.core.mesh.MeshConfiguration;

/**
 * Reads a configuration from the form in which the store keeps it.
 */
@FunctionalInterface
public interface ConfigurationDecoder {

	/**
	 * Reads a configuration.
	 * @param value value of the store's key
	 * @return the configuration
	 * @throws ConfigurationUnreadableException if the value is no configuration
	 */
	MeshConfiguration decode(byte[] value) throws ConfigurationUnreadableException;

}
