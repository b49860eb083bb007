package org.wasabicart.experiment.membership;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.Revision;
import org.wasabicart.core.model.ServiceName;

/**
 * Ids, addresses, services, failure domains and regions of the nodes of a fleet.
 *
 * @param nodes number of nodes
 * @param failureDomains number of failure domains
 * @param regions number of regions
 * @param services number of services
 */
record FleetLayout(int nodes, int failureDomains, int regions, int services) {

	private static final int FAILURE_DOMAINS = 6;

	private static final int REGIONS = 2;

	private static final int SERVICES = 67;

	private static final int PORT = 7000;

	private static final int SLOTS = 120;

	private static final int ADDRESSES_PER_OCTET = 250;

	static FleetLayout ofSize(int nodes) {
		return new FleetLayout(nodes, FAILURE_DOMAINS, REGIONS, Math.min(SERVICES, Math.max(1, nodes / 10)));
	}

	int failureDomainOf(int node) {
		return node % this.failureDomains;
	}

	int regionOf(int node) {
		return failureDomainOf(node) % this.regions;
	}

	NodeAddress addressOf(int node) {
		return new NodeAddress("127.40." + (node / ADDRESSES_PER_OCTET) + "." + (1 + node % ADDRESSES_PER_OCTET), PORT);
	}

	Member member(int node, String id, long instance, MemberState state) {
		return new Member(new NodeId(id), new InstanceNumber(instance),
				new ServiceName("service-" + (node % this.services)),
				new FailureDomain("failure-domain-" + failureDomainOf(node)),
				new RegionName("region-" + regionOf(node)), addressOf(node), state, SLOTS, new Revision(0));
	}

}
