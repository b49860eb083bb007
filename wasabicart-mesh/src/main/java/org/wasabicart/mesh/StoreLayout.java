package org.wasabicart.mesh;

import java.util.Objects;

/**
 * Where the store keeps what the node reads and writes.
 *
 * @param configurationKey key of the operators' configuration
 * @param memberPrefix prefix of the nodes' entries
 */
public record StoreLayout(String configurationKey, String memberPrefix) {

	public StoreLayout {
		Objects.requireNonNull(configurationKey, "configurationKey");
		Objects.requireNonNull(memberPrefix, "memberPrefix");
	}

}
