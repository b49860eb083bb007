package org.wasabicart.core.membership;

import java.util.Objects;

import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.Revision;

/**
 * Sender of a message.
 *
 * @param id node
 * @param instance process instance of the node
 * @param address advertised address, to which replies go
 * @param revision configuration revision in force on the sender
 */
public record PeerIdentity(NodeId id, InstanceNumber instance, NodeAddress address, Revision revision) {

	public PeerIdentity {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(revision, "revision");
	}

}
