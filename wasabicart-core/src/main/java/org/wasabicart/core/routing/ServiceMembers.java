package org.wasabicart.core.routing;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.NodeId;

/**
 * Members of one service that are serving, grouped by their distance from this node.
 */
final class ServiceMembers {

	/** Number of distances: same failure domain, same region, other regions. */
	static final int DISTANCE_COUNT = 3;

	/** Distance of members in other regions. */
	static final int OTHER_REGIONS = 2;

	/** Limit on the random picks made to find two eligible members. */
	private static final int RANDOM_PICKS = 4;

	private final MemberLoad[][] byDistance;

	ServiceMembers(List<List<MemberLoad>> byDistance) {
		this.byDistance = new MemberLoad[DISTANCE_COUNT][];
		Arrays.setAll(this.byDistance, (index) -> byDistance.get(index).toArray(MemberLoad[]::new));
	}

	/**
	 * Chooses the cheaper of two random members.
	 * @param distance distance of the members
	 * @param excluded nodes already tried
	 * @param now the ticker's time
	 * @param random random source
	 * @return the member, or null if none is eligible
	 */
	MemberLoad choose(int distance, Set<NodeId> excluded, long now, RandomGenerator random) {
		MemberLoad[] members = this.byDistance[distance];
		MemberLoad best = null;
		double bestCost = 0;
		int found = 0;
		for (int pick = 0; pick < RANDOM_PICKS && found < 2 && members.length > 0; pick++) {
			MemberLoad member = members[random.nextInt(members.length)];
			if (member == best || !eligible(member, excluded, now)) {
				continue;
			}
			found++;
			double cost = member.cost(now);
			if (best == null || cost < bestCost) {
				best = member;
				bestCost = cost;
			}
		}
		return (best != null) ? best : scanForEligible(members, excluded, now, random);
	}

	/**
	 * Chooses the ejected member whose ejection ends first, for use when no member is
	 * eligible.
	 * @param distance distance of the members
	 * @param excluded nodes already tried
	 * @return the member, or null if all are excluded
	 */
	MemberLoad memberWithEarliestEjectionEnd(int distance, Set<NodeId> excluded) {
		MemberLoad best = null;
		for (MemberLoad member : this.byDistance[distance]) {
			boolean allowed = !excluded.contains(member.member().id());
			if (allowed && (best == null || member.ejectedUntil() - best.ejectedUntil() < 0)) {
				best = member;
			}
		}
		return best;
	}

	private static MemberLoad scanForEligible(MemberLoad[] members, Set<NodeId> excluded, long now,
			RandomGenerator random) {
		int start = (members.length > 0) ? random.nextInt(members.length) : 0;
		for (int offset = 0; offset < members.length; offset++) {
			MemberLoad member = members[(start + offset) % members.length];
			if (eligible(member, excluded, now)) {
				return member;
			}
		}
		return null;
	}

	private static boolean eligible(MemberLoad member, Set<NodeId> excluded, long now) {
		return !member.ejected(now) && (excluded.isEmpty() || !excluded.contains(member.member().id()));
	}

}
