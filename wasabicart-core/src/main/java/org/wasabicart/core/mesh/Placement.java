package org.wasabicart.core.mesh;

import java.util.Objects;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;

/**
 * Chooses the backend server of one request by distance and load. Answers servers of
 * unlike speed and a narrow, paid link between regions: the own failure domain is used
 * until it is clearly busier, and another region only while the own one has no server.
 */
public final class Placement {

	/** Load by which another failure domain must be lower, as a share of the slots. */
	static final double DOMAIN_MARGIN = 0.25;

	/** Outweighs any load: bytes between regions are paid and their link is narrow. */
	static final double REGION_MARGIN = 1000;

	/** Load above which waiting becomes likely, as a share of the slots. */
	static final double BUSY_LOAD = 0.9;

	private static final double BUSY_FACTOR = 4;

	/** Spreads nodes that see the same loads. */
	private static final double SPREAD = 0.03;

	/** Load that outweighs a server which fails all calls. */
	private static final double FAILED_FACTOR = 2;

	private final FailureDomain failureDomain;

	private final RegionName region;

	private final RandomGenerator random;

	/**
	 * Creates a placement for one node.
	 * @param failureDomain failure domain of the node
	 * @param region region of the node
	 * @param random random source
	 */
	public Placement(FailureDomain failureDomain, RegionName region, RandomGenerator random) {
		this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
		this.region = Objects.requireNonNull(region, "region");
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Chooses a server.
	 * @param candidates servers of the service
	 * @param excluded nodes that this request must not use again
	 * @param ownRegion whether servers of other regions are left out
	 * @param now current time in nanoseconds
	 * @return the choice, or null if no server takes new work
	 */
	public MemberStatus choose(Iterable<MemberStatus> candidates, Predicate<NodeId> excluded, boolean ownRegion,
			long now) {
		MemberStatus best = null;
		double bestCost = Double.MAX_VALUE;
		for (MemberStatus candidate : candidates) {
			if (!candidate.usable(now) || ownRegion && !near(candidate) || excluded.test(candidate.member().node())) {
				continue;
			}
			double cost = cost(candidate);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best;
	}

	private boolean near(MemberStatus candidate) {
		return candidate.member().region().equals(this.region);
	}

	private double cost(MemberStatus candidate) {
		double load = candidate.load();
		double cost = load + BUSY_FACTOR * Math.max(0, load - BUSY_LOAD) + FAILED_FACTOR * candidate.failedShare()
				+ this.random.nextDouble() * SPREAD;
		if (!near(candidate)) {
			return cost + REGION_MARGIN;
		}
		return candidate.member().failureDomain().equals(this.failureDomain) ? cost : cost + DOMAIN_MARGIN;
	}

}
