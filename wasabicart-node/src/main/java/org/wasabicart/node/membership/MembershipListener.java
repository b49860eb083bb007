package org.wasabicart.node.membership;

import java.util.Collection;

import org.wasabicart.core.model.Member;

/**
 * Receives changes of the members. Invoked on the membership thread; must not block.
 */
@FunctionalInterface
public interface MembershipListener {

	/**
	 * The members changed. A change of revisions alone is not reported.
	 * @param members all members, including the local node; immutable
	 */
	void viewChanged(Collection<Member> members);

}
