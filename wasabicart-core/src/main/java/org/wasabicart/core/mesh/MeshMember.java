package org.wasabicart.core.mesh;

import java.util.Objects;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.ServiceName;

/**
 * A backend server and the node beside it, as announced by the node.
 *
 * @param node node
 * @param address address of the node for calls from other nodes
 * @param failureDomain failure domain of the VM
 * @param region region of the failure domain
 * @param service service of the server
 * @param incarnation run of the server
 * @param slots requests that the server runs at the same time, 1 to
 * {@link #MAXIMUM_SLOTS}
 * @param state whether the server takes new work
 */
public record MeshMember(NodeId node, NodeAddress address, FailureDomain failureDomain, RegionName region,
		ServiceName service, BackendIncarnation incarnation, int slots, ServerState state) {

	/** Largest number of slots that a server may announce. */
	public static final int MAXIMUM_SLOTS = 1_000_000;

	public MeshMember {
		Objects.requireNonNull(node, "node");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(region, "region");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(state, "state");
		if (slots < 1 || slots > MAXIMUM_SLOTS) {
			throw new IllegalArgumentException("slots of a server are out of range: " + slots);
		}
	}

	/**
	 * Returns a copy of this description with another state.
	 * @param newState state
	 * @return the copy
	 */
	public MeshMember withState(ServerState newState) {
		return new MeshMember(this.node, this.address, this.failureDomain, this.region, this.service, this.incarnation,
				this.slots, newState);
	}

	/**
	 * Returns the id of the server.
	 * @return the id
	 */
	public String instance() {
		return this.incarnation.instance();
	}

}
