package org.wasabicart.mesh;

import org.wasabicart.core.mesh.MeshConfiguration;

/**
 * Decodes a configuration as it is stored.
 */
@FunctionalInterface
public interface ConfigurationDecoder {

	/**
	 * Decodes a configuration.
	 * @param value value of the configuration key in the store
	 * @return the configuration
	 * @throws ConfigurationUnreadableException if the value is not a valid configuration
	 */
	MeshConfiguration decode(byte[] value) throws ConfigurationUnreadableException;

}
