package org.wasabicart.core.mesh;

import java.util.function.Predicate;

import org.wasabicart.core.model.NodeId;

/**
 * Chooses the backend server of one request.
 */
public interface ServerChoice {

	/**
	 * Chooses a server.
	 * @param candidates servers of the service
	 * @param excluded nodes that this request must not use again
	 * @param localRegionOnly whether servers of other regions are excluded
	 * @param targetTime time in nanoseconds within which the caller wants the answer, or
	 * {@link Long#MAX_VALUE} if it has stated none
	 * @param now current time in nanoseconds
	 * @return the server, or null if none is usable
	 */
	MemberStatus choose(Iterable<MemberStatus> candidates, Predicate<NodeId> excluded, boolean localRegionOnly,
			long targetTime, long now);

	/**
	 * Returns whether a server is in the region of this node.
	 * @param candidate server
	 * @return whether calls to it stay in the region
	 */
	boolean isInLocalRegion(MemberStatus candidate);

}
