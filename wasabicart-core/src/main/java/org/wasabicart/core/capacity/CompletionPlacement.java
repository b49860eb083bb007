package org.wasabicart.core.capacity;

import java.util.Objects;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.wasabicart.core.mesh.MemberStatus;
import org.wasabicart.core.mesh.ServerChoice;
import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;

/**
 * Chooses the backend server of one request by its expected completion. Handles servers
 * of different speed, steps in speed, uneven demand, and paths of different cost.
 * <p>
 * Servers that complete the call in time are used evenly, relative to their limits, and
 * those of the own failure domain first. A server that would complete it late has a cost
 * that grows with the excess. Only a few random servers are compared, so that nodes that
 * have the same reports do not all choose the same server.
 */
public final class CompletionPlacement implements ServerChoice {

	/** Servers of the own failure domain that are compared. */
	private static final int LOCAL_SAMPLES = 3;

	/** Servers of the other failure domains of the region that are compared. */
	private static final int OTHER_SAMPLES = 2;

	/**
	 * Cost of another failure domain, in units of load: its bytes are billed, and a
	 * smaller difference of loads is often gone when the call arrives.
	 */
	private static final double DOMAIN_COST = 0.25;

	/** Exceeds any load: the link between regions has limited bandwidth and is billed. */
	private static final double REGION_COST = 1000;

	/** Cost of a server that refuses most calls, since its rate limit is used up. */
	private static final double UNLIKELY_ADMISSION_COST = 2 * REGION_COST;

	/** Load that is assumed of a server that was busier some time ago. */
	private static final double FORMER_LOAD = 0.75;

	/**
	 * Time in which a higher load is forgotten, in nanoseconds. A node that avoids a busy
	 * server gets no replies from it, and must find out soon that it is free again.
	 */
	private static final double FORMER_LOAD_TIME = 1e9;

	/** Load above which waiting becomes likely, as a share of the limit. */
	private static final double BUSY_LOAD = 0.9;

	/** Added cost per unit of load above {@link #BUSY_LOAD}. */
	private static final double BUSY_FACTOR = 4;

	/** Cost of a server that fails all calls, as a share of the limit. */
	private static final double FAILED_SHARE_COST = 2;

	/** Cost of completing as late again as the caller allows. */
	private static final double LATE_COST = 2;

	/**
	 * Cost of a time as long as that of a typical server. Small, since an answer within
	 * the target has its full value.
	 */
	private static final double TIME_COST = 0.05;

	/**
	 * Multiple of the typical time that is allowed if the target is later: callers of
	 * nested calls make several in turn within their own target.
	 */
	private static final double ALLOWED_FACTOR = 2;

	/** Random part of the cost: keeps nodes that see equal loads from choosing alike. */
	private static final double RANDOM_COST = 0.03;

	/**
	 * Share of the calls that are placed by load alone: they show whether a slow server
	 * has recovered. Each of them may be late.
	 */
	private static final double TRIAL_SHARE = 0.01;

	/** Typical time to another failure domain of the region and back, in nanoseconds. */
	private static final double DOMAIN_ROUND_TRIP = 4e6;

	/** Time to another region and back, in nanoseconds. */
	private static final double REGION_ROUND_TRIP = 24e6;

	private final FailureDomain failureDomain;

	private final RegionName region;

	private final RandomGenerator random;

	/**
	 * Creates a placement for one node.
	 * @param failureDomain failure domain of the node
	 * @param region region of the node
	 * @param random random source
	 */
	public CompletionPlacement(FailureDomain failureDomain, RegionName region, RandomGenerator random) {
		this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
		this.region = Objects.requireNonNull(region, "region");
		this.random = Objects.requireNonNull(random, "random");
	}

	@Override
	public boolean isInLocalRegion(MemberStatus candidate) {
		return candidate.member().region().equals(this.region);
	}

	@Override
	public MemberStatus choose(Iterable<MemberStatus> candidates, Predicate<NodeId> excluded, boolean localRegionOnly,
			long targetTime, long now) {
		Samples local = new Samples(LOCAL_SAMPLES);
		Samples others = new Samples(OTHER_SAMPLES);
		double loads = 0;
		int count = 0;
		for (MemberStatus candidate : candidates) {
			if (!isInLocalRegion(candidate) || !usable(candidate, excluded, now)) {
				continue;
			}
			(isLocal(candidate) ? local : others).offer(candidate);
			loads += candidate.expectedLoad(now);
			count++;
		}
		Comparison comparison = new Comparison(ServiceTimes.typical(candidates, now), (count > 0) ? loads / count : 0,
				targetTime, this.random.nextDouble() < TRIAL_SHARE, now);
		comparison.offer(local);
		comparison.offer(others);
		if (comparison.bestCost >= UNLIKELY_ADMISSION_COST) {
			// No server of the region is likely to take the call, as far as compared.
			for (MemberStatus candidate : candidates) {
				if ((!localRegionOnly || isInLocalRegion(candidate)) && usable(candidate, excluded, now)) {
					comparison.offer(candidate);
				}
			}
		}
		return comparison.best;
	}

	private static boolean usable(MemberStatus candidate, Predicate<NodeId> excluded, long now) {
		return candidate.usable(now) && !excluded.test(candidate.member().node());
	}

	private boolean isLocal(MemberStatus candidate) {
		return candidate.member().failureDomain().equals(this.failureDomain);
	}

	/**
	 * Random servers of a sequence, each with the same probability.
	 */
	private final class Samples {

		private final MemberStatus[] members;

		private int offered;

		Samples(int size) {
			this.members = new MemberStatus[size];
		}

		private void offer(MemberStatus member) {
			int index = (this.offered < this.members.length) ? this.offered
					: CompletionPlacement.this.random.nextInt(this.offered + 1);
			this.offered++;
			if (index < this.members.length) {
				this.members[index] = member;
			}
		}

	}

	/**
	 * Comparison of the servers for one request.
	 */
	private final class Comparison {

		private final double typicalTime;

		private final double meanLoad;

		private final double allowedTime;

		private final boolean trial;

		private final long now;

		private MemberStatus best;

		private double bestCost = Double.MAX_VALUE;

		Comparison(double typicalTime, double meanLoad, long targetTime, boolean trial, long now) {
			this.typicalTime = typicalTime;
			this.meanLoad = meanLoad;
			this.allowedTime = Math.max(typicalTime, Math.min(targetTime, ALLOWED_FACTOR * typicalTime));
			this.trial = trial;
			this.now = now;
		}

		private void offer(Samples samples) {
			for (MemberStatus member : samples.members) {
				if (member != null) {
					offer(member);
				}
			}
		}

		private void offer(MemberStatus candidate) {
			double cost = cost(candidate);
			if (cost < this.bestCost) {
				this.best = candidate;
				this.bestCost = cost;
			}
		}

		private double cost(MemberStatus candidate) {
			double weight = ServiceTimes.weight(candidate.reportAge(this.now));
			double load = expectedLoad(candidate, weight);
			boolean inRegion = isInLocalRegion(candidate);
			double cost = load + BUSY_FACTOR * Math.max(0, load - BUSY_LOAD)
					+ FAILED_SHARE_COST * candidate.failedShare()
					+ CompletionPlacement.this.random.nextDouble() * RANDOM_COST;
			if (this.typicalTime > 0 && !this.trial) {
				double serviceTime = expectedTime(candidate, weight);
				double completion = serviceTime * Math.max(1, load) + roundTrip(candidate, inRegion);
				cost += LATE_COST * Math.max(0, completion / this.allowedTime - 1)
						+ TIME_COST * serviceTime / this.typicalTime;
			}
			if (candidate.rateLimitUsedUp(this.now) || !inRegion && load > BUSY_LOAD) {
				cost += UNLIKELY_ADMISSION_COST;
			}
			if (!inRegion) {
				return cost + REGION_COST;
			}
			return isLocal(candidate) ? cost : cost + DOMAIN_COST;
		}

		// Without a fresh report, a server is assumed to be as busy as the others.
		private double expectedLoad(MemberStatus candidate, double weight) {
			double load = candidate.expectedLoad(this.now);
			if (load < this.meanLoad) {
				return weight * load + (1 - weight) * this.meanLoad;
			}
			double kept = Math.exp(-candidate.reportAge(this.now) / FORMER_LOAD_TIME);
			return (load > FORMER_LOAD) ? FORMER_LOAD + (load - FORMER_LOAD) * kept : load;
		}

		private double expectedTime(MemberStatus candidate, double weight) {
			if (candidate.serviceTime() <= 0) {
				return this.typicalTime;
			}
			return this.typicalTime * Math.pow(candidate.serviceTime() / this.typicalTime, weight);
		}

		private double roundTrip(MemberStatus candidate, boolean inRegion) {
			if (!inRegion) {
				return REGION_ROUND_TRIP;
			}
			return isLocal(candidate) ? 0 : DOMAIN_ROUND_TRIP;
		}

	}

}
