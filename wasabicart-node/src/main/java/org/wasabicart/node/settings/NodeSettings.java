package org.wasabicart.node.settings;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;

/**
 * Checked settings of one node process.
 *
 * @param nodeId id of the node
 * @param failureDomain failure domain of the VM
 * @param region region of the failure domain
 * @param listenAddress address for links and membership
 * @param advertisedAddress address under which peers reach the node
 * @param httpAddress HTTP address for callers and operators
 * @param localHttpAddress HTTP address for the local backend server
 * @param store addresses of the store's gateway; empty if the node runs without a store
 * @param seeds advertised addresses of nodes to join
 * @param sharedKeyFile file with the deployment's shared key
 * @param grace maximum time that a shutdown waits for requests in progress
 * @param logFormat format of log lines
 * @param logLevel level of the log, in upper case
 * @param control overload control to apply
 */
public record NodeSettings(NodeId nodeId, FailureDomain failureDomain, RegionName region, NodeAddress listenAddress,
		NodeAddress advertisedAddress, NodeAddress httpAddress, NodeAddress localHttpAddress, List<URI> store,
		List<NodeAddress> seeds, Path sharedKeyFile, Duration grace, LogFormat logFormat, String logLevel,
		ControlMode control) {

	public NodeSettings {
		store = List.copyOf(store);
		seeds = List.copyOf(seeds);
	}
}
