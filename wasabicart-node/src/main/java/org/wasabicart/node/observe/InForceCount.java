package org.wasabicart.node.observe;

import java.util.List;

/**
 * Members on which a revision is in force.
 *
 * @param revision revision that the request names
 * @param nodes number of all members
 * @param inForce number of members with the revision or a higher one in force
 * @param unreachable sorted ids of the members that did not respond in time; they do not
 * count as in force
 */
public record InForceCount(long revision, int nodes, int inForce, List<String> unreachable) {

	public InForceCount {
		unreachable = List.copyOf(unreachable);
	}

}
