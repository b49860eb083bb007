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
 * failure domain fails, none of its members is left to probe the others on its ring.
 */
final class FollowUpProbes {

	/** With fewer suspected members, the failure domain can still probe itself. */
	private static final int MINIMUM_SUSPECTED = 3;

	/** Probes that a member of such a failure domain gets from all nodes per interval. */
	private static final double PROBES_PER_MEMBER = 2;

	private static final long INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private final MemberTable table;

	private final RandomGenerator random;

	private long nextTime;

	private boolean started;

	FollowUpProbes(MemberTable table, RandomGenerator random) {
		this.table = table;
		this.random = random;
	}

	/**
	 * Returns the member to probe next.
	 * @param now current time
	 * @param local local node
	 * @return member, or {@code null} if no extra probe is due
	 */
	MemberEntry next(long now, NodeId local) {
		if (this.table.suspected().size() < MINIMUM_SUSPECTED || (this.started && now - this.nextTime < 0)) {
			return null;
		}
		this.started = true;
		this.nextTime = now + INTERVAL_NANOSECONDS / 2 + this.random.nextLong(INTERVAL_NANOSECONDS);
		List<MemberEntry> candidates = candidates(local);
		double probability = PROBES_PER_MEMBER * candidates.size() / this.table.size();
		if (candidates.isEmpty() || this.random.nextDouble() >= probability) {
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
					&& suspected.getOrDefault(entry.member.failureDomain(), 0) >= MINIMUM_SUSPECTED) {
				candidates.add(entry);
			}
		}
		return candidates;
	}

}
