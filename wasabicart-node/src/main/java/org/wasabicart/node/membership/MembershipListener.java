package org.wasabicart.node.membership;

import java.util.Collection;

import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.Revision;

/**
 * Receives what membership learns. Invoked on the membership thread; must not block.
 */
public interface MembershipListener {

	/**
	 * The members changed. A change of revisions alone is not reported.
	 * @param members all members, including the local node; immutable
	 */
	void viewChanged(Collection<Member> members);

	/**
	 * A peer has a higher configuration revision than the local node.
	 * @param peer advertised address of the peer
	 * @param revision the peer's revision
	 */
	default void newerRevisionSeen(NodeAddress peer, Revision revision) {
	}

}
