package org.wasabicart.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.retry.RetryHints;

/**
 * Router that prefers near members: its own failure domain, then its own region, then
 * other regions. At each distance it takes the cheaper of two random members. A call
 * spills over to a farther member when the nearer one refuses calls, has no free slot or
 * is much slower.
 */
final class LocalityRouter implements Router {

	/**
	 * A call spills over when the nearer member is more than this many times slower.
	 */
	static final double SPILL_LATENCY_RATIO = 2;

	/** A latency difference below this never causes a spill-over. */
	static final long SPILL_LATENCY_MARGIN_NANOSECONDS = Duration.ofMillis(5).toNanos();

	/** A latency of a farther member that is older than this is not compared. */
	static final long SPILL_LATENCY_MAXIMUM_AGE_NANOSECONDS = Duration.ofSeconds(1).toNanos();

	/**
	 * Excess of the nearer member's refused share below which it causes no spill-over.
	 */
	static final double SPILL_REFUSED_SHARE = 0.02;

	private final FailureDomain failureDomain;

	private final RegionName region;

	private final RegionLink regionLink;

	private final Ticker ticker;

	private final RandomGenerator random;

	private final RetryHints hints;

	private volatile Map<NodeId, MemberLoad> loads = Map.of();

	private volatile Map<ServiceName, ServiceMembers> services = Map.of();

	LocalityRouter(FailureDomain failureDomain, RegionName region, RegionLink regionLink, Ticker ticker,
			RandomGenerator random) {
		this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
		this.region = Objects.requireNonNull(region, "region");
		this.regionLink = Objects.requireNonNull(regionLink, "regionLink");
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.random = Objects.requireNonNull(random, "random");
		this.hints = new RetryHints(random);
	}

	@Override
	public RouteDecision choose(ServiceName service, RequestContext context, long bytes, Set<NodeId> excluded) {
		ServiceMembers members = this.services.get(service);
		if (members == null) {
			return notRouted(RefusalReason.NO_BACKEND_SERVER);
		}
		long now = this.ticker.nanoseconds();
		MemberLoad best = null;
		boolean linkFull = false;
		for (int distance = 0; distance < ServiceMembers.DISTANCE_COUNT; distance++) {
			if (best != null && !maySpill(best, now)) {
				break;
			}
			MemberLoad candidate = members.choose(distance, excluded, now, this.random);
			if (candidate == null) {
				continue;
			}
			if (distance == ServiceMembers.OTHER_REGIONS && !this.regionLink.hasRoom(bytes)) {
				linkFull = true;
				continue;
			}
			if (best == null || shouldSpill(best, candidate, now)) {
				best = candidate;
			}
		}
		if (best != null) {
			return routeTo(best);
		}
		return linkFull ? notRouted(RefusalReason.REGION_LINK_FULL) : chooseEjected(members, bytes, excluded);
	}

	// Observed failures can be misleading about all members at once, so a call is still
	// tried when all are ejected.
	private RouteDecision chooseEjected(ServiceMembers members, long bytes, Set<NodeId> excluded) {
		for (int distance = 0; distance < ServiceMembers.DISTANCE_COUNT; distance++) {
			MemberLoad member = members.memberWithEarliestEjectionEnd(distance, excluded);
			if (member != null && (distance != ServiceMembers.OTHER_REGIONS || this.regionLink.hasRoom(bytes))) {
				return routeTo(member);
			}
		}
		return notRouted(RefusalReason.NO_BACKEND_SERVER);
	}

	private RouteDecision routeTo(MemberLoad load) {
		Member member = load.member();
		return new RouteDecision.Chosen(member, inOtherRegion(member));
	}

	private RouteDecision notRouted(RefusalReason reason) {
		return new RouteDecision.NotRouted(this.hints.refuse(reason, 1));
	}

	private boolean inOtherRegion(Member member) {
		return !member.region().equals(this.region);
	}

	// Returns whether shouldSpill can hold for any farther member, so that those are
	// examined only if needed.
	private static boolean maySpill(MemberLoad nearer, long now) {
		return nearer.refusedShare(now) > SPILL_REFUSED_SHARE || nearer.inFlight() >= nearer.member().slots()
				|| nearer.latency() > SPILL_LATENCY_MARGIN_NANOSECONDS;
	}

	private boolean shouldSpill(MemberLoad nearer, MemberLoad farther, long now) {
		double excessRefusedShare = nearer.refusedShare(now) - farther.refusedShare(now);
		if (excessRefusedShare > SPILL_REFUSED_SHARE && this.random.nextDouble() < excessRefusedShare) {
			return true;
		}
		int slots = nearer.member().slots();
		if (slots > 0 && nearer.inFlight() >= slots && farther.inFlight() < farther.member().slots()) {
			return true;
		}
		boolean comparable = farther.latency() > 0
				&& now - farther.latencyUpdateTime() < SPILL_LATENCY_MAXIMUM_AGE_NANOSECONDS;
		return comparable
				&& nearer.latency() > SPILL_LATENCY_RATIO * farther.latency() + SPILL_LATENCY_MARGIN_NANOSECONDS;
	}

	@Override
	public void callStarted(Member member) {
		MemberLoad load = this.loads.get(member.id());
		if (load != null) {
			load.started();
		}
		if (inOtherRegion(member)) {
			this.regionLink.started();
		}
	}

	@Override
	public void callFinished(Member member, RouteSample sample) {
		MemberLoad load = this.loads.get(member.id());
		if (load != null && load.member().instance().equals(member.instance())) {
			load.finished(sample, this.ticker.nanoseconds(), this.random);
		}
		if (inOtherRegion(member)) {
			this.regionLink.finished(member.id(), sample);
		}
	}

	@Override
	public synchronized void updateMembers(Collection<Member> members) {
		long now = this.ticker.nanoseconds();
		Map<NodeId, MemberLoad> newLoads = new HashMap<>();
		Map<ServiceName, List<List<MemberLoad>>> groups = new HashMap<>();
		for (Member member : members) {
			MemberLoad load = this.loads.get(member.id());
			if (load == null || !load.member().instance().equals(member.instance())) {
				load = new MemberLoad(member, now);
			}
			load.update(member);
			newLoads.put(member.id(), load);
			if (member.state() == MemberState.SERVING) {
				groups.computeIfAbsent(member.service(), (service) -> emptyGroups()).get(distance(member)).add(load);
			}
		}
		Map<ServiceName, ServiceMembers> newServices = new HashMap<>();
		groups.forEach((service, lists) -> newServices.put(service, new ServiceMembers(lists)));
		this.regionLink.retain(newLoads.keySet());
		this.loads = newLoads;
		this.services = newServices;
	}

	private static List<List<MemberLoad>> emptyGroups() {
		return List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
	}

	private int distance(Member member) {
		if (member.failureDomain().equals(this.failureDomain)) {
			return 0;
		}
		return inOtherRegion(member) ? ServiceMembers.OTHER_REGIONS : 1;
	}

}
