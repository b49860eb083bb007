package org.wasabicart.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeId;

/**
 * Peers of the local node by distance, and the peers that it probes regularly. Each
 * member is probed by its predecessors on the ring of its failure domain; a fixed set of
 * probers bounds the time to the next probe, which random choice does not.
 */
final class PeerDirectory {

	static final int PROBERS_PER_MEMBER = 3;

	/** Members of smaller failure domains are probed by the ring of all members. */
	private static final int LEAST_RING_SIZE = 3;

	private static final double OTHER_FAILURE_DOMAIN_SHARE = 0.33;

	private static final double OTHER_REGION_SHARE = 0.07;

	private final List<MemberEntry> sameFailureDomain = new ArrayList<>();

	private final List<MemberEntry> sameRegion = new ArrayList<>();

	private final List<MemberEntry> otherRegions = new ArrayList<>();

	private List<MemberEntry> ringTargets = List.of();

	private long builtFor = -1;

	void refresh(MemberTable table, Member local) {
		if (this.builtFor == table.structureVersion()) {
			return;
		}
		this.builtFor = table.structureVersion();
		this.sameFailureDomain.clear();
		this.sameRegion.clear();
		this.otherRegions.clear();
		for (MemberEntry entry : table.entries()) {
			if (entry.id().equals(local.id())) {
				continue;
			}
			groupOf(entry.member, local).add(entry);
		}
		this.ringTargets = ringTargets(table, local);
	}

	private List<MemberEntry> groupOf(Member member, Member local) {
		if (!member.region().equals(local.region())) {
			return this.otherRegions;
		}
		return member.failureDomain().equals(local.failureDomain()) ? this.sameFailureDomain : this.sameRegion;
	}

	private List<MemberEntry> ringTargets(MemberTable table, Member local) {
		Map<FailureDomain, Integer> sizes = new HashMap<>();
		for (MemberEntry entry : table.entries()) {
			sizes.merge(entry.member.failureDomain(), 1, Integer::sum);
		}
		Set<MemberEntry> targets = new LinkedHashSet<>();
		if (sizes.getOrDefault(local.failureDomain(), 0) >= LEAST_RING_SIZE) {
			targets.addAll(successors(new ArrayList<>(this.sameFailureDomain), local.id()));
		}
		if (sizes.values().stream().anyMatch((size) -> size < LEAST_RING_SIZE)) {
			List<MemberEntry> others = new ArrayList<>(table.entries());
			others.removeIf((entry) -> entry.id().equals(local.id()));
			for (MemberEntry entry : successors(others, local.id())) {
				if (sizes.get(entry.member.failureDomain()) < LEAST_RING_SIZE) {
					targets.add(entry);
				}
			}
		}
		return new ArrayList<>(targets);
	}

	private static List<MemberEntry> successors(List<MemberEntry> ring, NodeId local) {
		long origin = MemberEntry.position(local);
		// Distances wrap around, so that the unsigned difference orders the ring.
		ring.sort(Comparator.comparingLong((entry) -> (entry.position - origin) ^ Long.MIN_VALUE));
		return ring.subList(0, Math.min(PROBERS_PER_MEMBER, ring.size()));
	}

	List<MemberEntry> ringTargets() {
		return this.ringTargets;
	}

	MemberEntry randomOfOtherFailureDomain(RandomGenerator random) {
		return random(this.sameRegion, random);
	}

	MemberEntry randomOfOtherRegion(RandomGenerator random) {
		return random(this.otherRegions, random);
	}

	/**
	 * Chooses a receiver of gossip, mostly inside the failure domain.
	 * @param random random source
	 * @return member, or {@code null} if there is no other
	 */
	MemberEntry randomReceiver(RandomGenerator random) {
		double share = random.nextDouble();
		if (share < OTHER_REGION_SHARE && !this.otherRegions.isEmpty()) {
			return random(this.otherRegions, random);
		}
		if (share < OTHER_REGION_SHARE + OTHER_FAILURE_DOMAIN_SHARE && !this.sameRegion.isEmpty()) {
			return random(this.sameRegion, random);
		}
		return randomNearest(random);
	}

	/**
	 * Chooses a member of the nearest group that has one.
	 * @param random random source
	 * @return member, or {@code null} if there is no other
	 */
	MemberEntry randomNearest(RandomGenerator random) {
		if (!this.sameFailureDomain.isEmpty()) {
			return random(this.sameFailureDomain, random);
		}
		return this.sameRegion.isEmpty() ? random(this.otherRegions, random) : random(this.sameRegion, random);
	}

	private static MemberEntry random(List<MemberEntry> members, RandomGenerator random) {
		return members.isEmpty() ? null : members.get(random.nextInt(members.size()));
	}

}
