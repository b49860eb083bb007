package org.wasabicart.node;

import java.util.Objects;

import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.ServiceName;

/**
 * Backend server on the VM of this node, as it announced itself.
 *
 * @param service service that it belongs to
 * @param address HTTP address, on loopback
 * @param slots calls that it can run concurrently
 * @param connections connections that it accepts
 * @param state announced state
 */
public record LocalServer(ServiceName service, NodeAddress address, int slots, int connections, MemberState state) {

	public LocalServer {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(state, "state");
		if (slots < 1 || connections < 1) {
			throw new IllegalArgumentException("Slots and connections must be positive");
		}
	}
}
