package org.wasabicart.mesh;

import java.util.Objects;

/**
 * Keys of the store that the node reads and writes.
 *
 * @param configurationKey key of the operators' configuration
 * @param memberPrefix prefix of the keys of the nodes' entries
 */
public record StoreKeys(String configurationKey, String memberPrefix) {

	public StoreKeys {
		Objects.requireNonNull(configurationKey, "configurationKey");
		Objects.requireNonNull(memberPrefix, "memberPrefix");
	}

}
