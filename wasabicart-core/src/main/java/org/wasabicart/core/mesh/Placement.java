package org.wasabicart.core.mesh;

import java.util.Objects;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;

/**
 * Chooses the backend server of one request by distance and load. Handles servers of
 * different speed and a link between regions whose bandwidth is limited and billed: the
 * local failure domain is used until it is clearly busier than another one, and another
 * region only while the local region has no usable server, or while all of its servers
 * have used up the rate limits that they named.
 */
public final class Placement implements ServerChoice {

	/** Load difference that justifies another failure domain, as a share of the slots. */
	static final double DOMAIN_MARGIN = 0.25;

	/** Exceeds any load: the link between regions has limited bandwidth and is billed. */
	static final double REGION_MARGIN = 1000;

	/**
	 * Cost of a server that refuses most calls, since its rate limit is used up. Exceeds
	 * the cost of another region, except for servers there that are busy.
	 */
	private static final double UNLIKELY_ADMISSION_COST = 2 * REGION_MARGIN;

	/** Load above which waiting becomes likely, as a share of the slots. */
	static final double BUSY_LOAD = 0.9;

	/** Added cost per unit of load above {@link #BUSY_LOAD}. */
	private static final double BUSY_FACTOR = 4;

	/** Random part of the cost: keeps nodes that see equal loads from choosing alike. */
	private static final double RANDOM_COST = 0.03;

	/** Cost of a server that fails all calls, as a share of the slots. */
	private static final double FAILED_SHARE_COST = 2;

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
	 * @param localRegionOnly whether servers of other regions are excluded
	 * @param now current time in nanoseconds
	 * @return the server, or null if none is usable
	 */
	public MemberStatus choose(Iterable<MemberStatus> candidates, Predicate<NodeId> excluded, boolean localRegionOnly,
			long now) {
		MemberStatus best = null;
		double bestCost = Double.MAX_VALUE;
		for (MemberStatus candidate : candidates) {
			if (!candidate.usable(now) || localRegionOnly && !isInLocalRegion(candidate)
					|| excluded.test(candidate.member().node())) {
				continue;
			}
			double cost = cost(candidate, now);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best;
	}

	@Override
	public MemberStatus choose(Iterable<MemberStatus> candidates, Predicate<NodeId> excluded, boolean localRegionOnly,
			long targetTime, long now) {
		return choose(candidates, excluded, localRegionOnly, now);
	}

	@Override
	public boolean isInLocalRegion(MemberStatus candidate) {
		return candidate.member().region().equals(this.region);
	}

	private double cost(MemberStatus candidate, long now) {
		double load = candidate.load(now);
		double cost = load + BUSY_FACTOR * Math.max(0, load - BUSY_LOAD) + FAILED_SHARE_COST * candidate.failedShare()
				+ this.random.nextDouble() * RANDOM_COST;
		boolean local = isInLocalRegion(candidate);
		if (candidate.rateLimitUsedUp(now) || !local && load > BUSY_LOAD) {
			cost += UNLIKELY_ADMISSION_COST;
		}
		if (!local) {
			return cost + REGION_MARGIN;
		}
		return candidate.member().failureDomain().equals(this.failureDomain) ? cost : cost + DOMAIN_MARGIN;
	}

}
