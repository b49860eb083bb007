package org.wasabicart.node.membership;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;

/**
 * Identity and addresses of the local node.
 *
 * @param nodeId id of the node
 * @param instance number of this run of the node process
 * @param failureDomain failure domain of the VM
 * @param region region of the failure domain
 * @param listenAddress address on which datagrams are received
 * @param advertisedAddress address to which peers send
 * @param seeds advertised addresses through which the node joins
 * @param sharedKey shared key of the deployment; without one, datagrams are not
 * authenticated
 */
public record MembershipRunnerSettings(NodeId nodeId, InstanceNumber instance, FailureDomain failureDomain,
		RegionName region, NodeAddress listenAddress, NodeAddress advertisedAddress, List<NodeAddress> seeds,
		Optional<byte[]> sharedKey) {

	public MembershipRunnerSettings {
		Objects.requireNonNull(nodeId, "nodeId");
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(region, "region");
		Objects.requireNonNull(listenAddress, "listenAddress");
		Objects.requireNonNull(advertisedAddress, "advertisedAddress");
		Objects.requireNonNull(sharedKey, "sharedKey");
		seeds = List.copyOf(seeds);
	}

}
