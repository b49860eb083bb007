package org.wasabicart.node.link;

import java.util.Objects;

import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.NodeId;

/**
 * The node as it introduces itself on links.
 *
 * @param nodeId node
 * @param instance run of the node process
 */
public record LinkIdentity(NodeId nodeId, InstanceNumber instance) {

	public LinkIdentity {
		Objects.requireNonNull(nodeId, "nodeId");
		Objects.requireNonNull(instance, "instance");
	}

}
