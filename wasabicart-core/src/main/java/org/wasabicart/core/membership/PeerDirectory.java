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
 * member is probed by its predecessors on the hash ring of its failure domain. A fixed
 * set of probers bounds the time to the next probe; random choice would not.
 */
final class PeerDirectory {

	static final int PROBERS_PER_MEMBER = 3;

	/** Members of smaller failure domains are probed on the ring of all members. */
	private static final int MINIMUM_RING_SIZE = 3;

	/** Share of receivers in other failure domains of the region. */
	private static final double OTHER_FAILURE_DOMAIN_SHARE = 0.33;

	/** Share of receivers in other regions. */
	private static final double OTHER_REGION_SHARE = 0.07;

	private final List<MemberEntry> sameFailureDomain = new ArrayList<>();

	private final List<MemberEntry> otherFailureDomains = new ArrayList<>();

	private final List<MemberEntry> otherRegions = new ArrayList<>();

	private List<MemberEntry> ringTargets = List.of();

	private long builtVersion = -1;

	void refresh(MemberTable table, Member local) {
		if (this.builtVersion == table.structureVersion()) {
			return;
		}
		this.builtVersion = table.structureVersion();
		this.sameFailureDomain.clear();
		this.otherFailureDomains.clear();
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
		return member.failureDomain().equals(local.failureDomain()) ? this.sameFailureDomain : this.otherFailureDomains;
	}

	private List<MemberEntry> ringTargets(MemberTable table, Member local) {
		Map<FailureDomain, Integer> sizes = new HashMap<>();
		for (MemberEntry entry : table.entries()) {
			sizes.merge(entry.member.failureDomain(), 1, Integer::sum);
		}
		Set<MemberEntry> targets = new LinkedHashSet<>();
		if (sizes.getOrDefault(local.failureDomain(), 0) >= MINIMUM_RING_SIZE) {
			targets.addAll(successors(new ArrayList<>(this.sameFailureDomain), local.id()));
		}
		if (sizes.values().stream().anyMatch((size) -> size < MINIMUM_RING_SIZE)) {
			List<MemberEntry> others = new ArrayList<>(table.entries());
			others.removeIf((entry) -> entry.id().equals(local.id()));
			for (MemberEntry entry : successors(others, local.id())) {
				if (sizes.get(entry.member.failureDomain()) < MINIMUM_RING_SIZE) {
					targets.add(entry);
				}
			}
		}
		return new ArrayList<>(targets);
	}

	private static List<MemberEntry> successors(List<MemberEntry> ring, NodeId local) {
		long origin = MemberEntry.position(local);
		// The wrapped difference, compared as unsigned, is the distance on the ring.
		ring.sort(Comparator.comparingLong((entry) -> (entry.position - origin) ^ Long.MIN_VALUE));
		return ring.subList(0, Math.min(PROBERS_PER_MEMBER, ring.size()));
	}

	List<MemberEntry> ringTargets() {
		return this.ringTargets;
	}

	MemberEntry randomOfOtherFailureDomain(RandomGenerator random) {
		return randomElement(this.otherFailureDomains, random);
	}

	MemberEntry randomOfOtherRegion(RandomGenerator random) {
		return randomElement(this.otherRegions, random);
	}

	/**
	 * Returns a random receiver of gossip or ping requests, mostly inside the failure
	 * domain.
	 * @param random random source
	 * @return member, or {@code null} if there is no other
	 */
	MemberEntry randomReceiver(RandomGenerator random) {
		double randomValue = random.nextDouble();
		if (randomValue < OTHER_REGION_SHARE && !this.otherRegions.isEmpty()) {
			return randomElement(this.otherRegions, random);
		}
		if (randomValue < OTHER_REGION_SHARE + OTHER_FAILURE_DOMAIN_SHARE && !this.otherFailureDomains.isEmpty()) {
			return randomElement(this.otherFailureDomains, random);
		}
		return randomNearest(random);
	}

	/**
	 * Returns a random member of the nearest group that is not empty.
	 * @param random random source
	 * @return member, or {@code null} if there is no other
	 */
	MemberEntry randomNearest(RandomGenerator random) {
		if (!this.sameFailureDomain.isEmpty()) {
			return randomElement(this.sameFailureDomain, random);
		}
		return this.otherFailureDomains.isEmpty() ? randomElement(this.otherRegions, random)
				: randomElement(this.otherFailureDomains, random);
	}

	private static MemberEntry randomElement(List<MemberEntry> members, RandomGenerator random) {
		return members.isEmpty() ? null : members.get(random.nextInt(members.size()));
	}

}
