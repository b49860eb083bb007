package org.wasabicart.core.routing;

import java.util.Collection;
import java.util.Set;

import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;

/**
 * Chooses the serving node of each call. Implementations are safe for use by several
 * threads.
 */
public interface Router {

	/**
	 * Chooses a serving node.
	 * @param service service to call
	 * @param context context of the call
	 * @param bytes size of the call's body in bytes
	 * @param excluded nodes already tried for this call
	 * @return the member, or a refusal
	 */
	RouteDecision choose(ServiceName service, RequestContext context, long bytes, Set<NodeId> excluded);

	/**
	 * Reports that a call was sent to a member.
	 * @param member member that was chosen
	 */
	void callStarted(Member member);

	/**
	 * Reports the end of a call.
	 * @param member member that was chosen
	 * @param sample what the sender observed
	 */
	void callFinished(Member member, RouteSample sample);

	/**
	 * Replaces the known members.
	 * @param members all members in the membership view
	 */
	void updateMembers(Collection<Member> members);

}
