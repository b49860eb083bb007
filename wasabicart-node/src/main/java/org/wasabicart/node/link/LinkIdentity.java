package org.wasabicart.node.link;

import java.util.Objects;

import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.NodeId;

/**
 * Identity that a node announces in the handshake of its links.
 *
 * @param nodeId id of the node
 * @param instance number of this run of the node process
 */
public record LinkIdentity(NodeId nodeId, InstanceNumber instance) {

	public LinkIdentity {
		Objects.requireNonNull(nodeId, "nodeId");
		Objects.requireNonNull(instance, "instance");
	}

}
