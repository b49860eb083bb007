package org.wasabicart.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.retry.RetryHints;

/**
 * Router that spreads calls evenly over all members in the own region, as a baseline for
 * comparison. It uses other regions only when the own region has no member to try.
 */
final class RandomRouter implements Router {

	private final RegionName region;

	private final RegionLink regionLink;

	private final RandomGenerator random;

	private final RetryHints hints;

	private volatile Map<ServiceName, List<Member>> ownRegion = Map.of();

	private volatile Map<ServiceName, List<Member>> otherRegions = Map.of();

	RandomRouter(RegionName region, RegionLink regionLink, RandomGenerator random) {
		this.region = Objects.requireNonNull(region, "region");
		this.regionLink = Objects.requireNonNull(regionLink, "regionLink");
		this.random = Objects.requireNonNull(random, "random");
		this.hints = new RetryHints(random);
	}

	@Override
	public RouteDecision choose(ServiceName service, RequestContext context, long bytes, Set<NodeId> excluded) {
		Member member = pick(this.ownRegion.getOrDefault(service, List.of()), excluded);
		if (member == null) {
			member = pick(this.otherRegions.getOrDefault(service, List.of()), excluded);
		}
		if (member == null) {
			return new RouteDecision.NotRouted(this.hints.refuse(RefusalReason.NO_BACKEND_SERVER, 1));
		}
		return new RouteDecision.Chosen(member, inOtherRegion(member));
	}

	private Member pick(List<Member> members, Set<NodeId> excluded) {
		int start = members.isEmpty() ? 0 : this.random.nextInt(members.size());
		for (int offset = 0; offset < members.size(); offset++) {
			Member member = members.get((start + offset) % members.size());
			if (!excluded.contains(member.id())) {
				return member;
			}
		}
		return null;
	}

	private boolean inOtherRegion(Member member) {
		return !member.region().equals(this.region);
	}

	@Override
	public void callStarted(Member member) {
		if (inOtherRegion(member)) {
			this.regionLink.started();
		}
	}

	@Override
	public void callFinished(Member member, RouteSample sample) {
		if (inOtherRegion(member)) {
			this.regionLink.finished(member.id(), sample);
		}
	}

	@Override
	public void updateMembers(Collection<Member> members) {
		Map<ServiceName, List<Member>> newOwnRegion = new HashMap<>();
		Map<ServiceName, List<Member>> newOtherRegions = new HashMap<>();
		for (Member member : members) {
			if (member.state() == MemberState.SERVING) {
				Map<ServiceName, List<Member>> target = inOtherRegion(member) ? newOtherRegions : newOwnRegion;
				target.computeIfAbsent(member.service(), (service) -> new ArrayList<>()).add(member);
			}
		}
		this.ownRegion = newOwnRegion;
		this.otherRegions = newOtherRegions;
	}

}
