package org.wasabicart.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeId;

/**
 * Extra probes of failure domains in which several members are suspected. When a whole
 * failure domain is lost, its own ring has no prober left.
 */
final class FollowUpProbes {

	/** With fewer suspected members, the ring of the failure domain still works. */
	private static final int LEAST_SUSPECTED = 3;

	/** Probes that each member of such a failure domain gets in one interval. */
	private static final double PROBES_PER_MEMBER = 2;

	private static final long INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private final MemberTable table;

	private final RandomGenerator random;

	private long next;

	private boolean started;

	FollowUpProbes(MemberTable table, RandomGenerator random) {
		this.table = table;
		this.random = random;
	}

	/**
	 * Chooses a member to probe.
	 * @param now current time
	 * @param local local node
	 * @return member, or {@code null} if no extra probe is due
	 */
	MemberEntry next(long now, NodeId local) {
		if (this.table.suspected().size() < LEAST_SUSPECTED || (this.started && now - this.next < 0)) {
			return null;
		}
		this.started = true;
		this.next = now + INTERVAL_NANOSECONDS / 2 + this.random.nextLong(INTERVAL_NANOSECONDS);
		List<MemberEntry> candidates = candidates(local);
		double share = PROBES_PER_MEMBER * candidates.size() / this.table.size();
		if (candidates.isEmpty() || this.random.nextDouble() >= share) {
			return null;
		}
		return candidates.get(this.random.nextInt(candidates.size()));
	}

	private List<MemberEntry> candidates(NodeId local) {
		Map<FailureDomain, Integer> suspected = new HashMap<>();
		for (MemberEntry entry : this.table.suspected()) {
			suspected.merge(entry.member.failureDomain(), 1, Integer::sum);
		}
		List<MemberEntry> candidates = new ArrayList<>();
		for (MemberEntry entry : this.table.entries()) {
			if (!entry.suspected && !entry.id().equals(local)
					&& suspected.getOrDefault(entry.member.failureDomain(), 0) >= LEAST_SUSPECTED) {
				candidates.add(entry);
			}
		}
		return candidates;
	}

}
