package org.wasabicart.node.membership;

import java.util.Objects;

import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.Revision;
import org.wasabicart.core.model.ServiceName;

/**
 * State of the local node and its backend server, as announced to peers.
 *
 * @param service service of the backend server
 * @param state state of the node
 * @param slots calls that the backend server can run concurrently
 * @param revision configuration revision in force on the node
 */
public record LocalAnnouncement(ServiceName service, MemberState state, int slots, Revision revision) {

	/** Service of a node whose backend server has not announced itself yet. */
	public static final ServiceName UNANNOUNCED = new ServiceName("unannounced");

	public LocalAnnouncement {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(revision, "revision");
	}

}
