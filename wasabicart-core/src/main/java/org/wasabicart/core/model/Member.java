package org.wasabicart.core.model;

import java.util.Objects;

/**
 * A node as seen by its peers, with its local backend server.
 *
 * @param id node
 * @param instance process instance of the node
 * @param service service of the backend server
 * @param failureDomain failure domain of the VM
 * @param region region of the failure domain
 * @param address advertised address
 * @param state announced state
 * @param slots announced number of calls that the backend server can run concurrently
 * @param revision configuration revision in force on the node
 */
public record Member(NodeId id, InstanceNumber instance, ServiceName service, FailureDomain failureDomain,
		RegionName region, NodeAddress address, MemberState state, int slots, Revision revision) {

	public Member {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(region, "region");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(revision, "revision");
		if (slots < 0) {
			throw new IllegalArgumentException("Slots are negative: " + slots);
		}
	}

}
