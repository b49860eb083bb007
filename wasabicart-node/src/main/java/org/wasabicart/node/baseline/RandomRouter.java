package org.wasabicart.node.baseline;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.routing.RouteDecision;
import org.wasabicart.core.routing.RouteSample;
import org.wasabicart.core.routing.Router;

/**
 * Chooses any serving member of the service at random, in the own failure domain first.
 */
public final class RandomRouter implements Router {

	private static final Duration RETRY_AFTER = Duration.ofMillis(500);

	private final FailureDomain own;

	private final RandomGenerator random;

	private volatile List<Member> members = List.of();

	/**
	 * Creates a router without members.
	 * @param own own failure domain
	 * @param random source of the choice
	 */
	public RandomRouter(FailureDomain own, RandomGenerator random) {
		this.own = own;
		this.random = random;
	}

	@Override
	public RouteDecision choose(ServiceName service, RequestContext context, long bytes, Set<NodeId> excluded) {
		List<Member> candidates = this.members.stream()
			.filter((member) -> member.service().equals(service) && member.state() == MemberState.SERVING)
			.filter((member) -> !excluded.contains(member.id()))
			.toList();
		if (candidates.isEmpty()) {
			return new RouteDecision.NotRouted(new Outcome.Refused(RefusalReason.NO_BACKEND_SERVER, RETRY_AFTER));
		}
		List<Member> near = candidates.stream().filter((member) -> member.failureDomain().equals(this.own)).toList();
		List<Member> choice = near.isEmpty() ? candidates : near;
		return new RouteDecision.Chosen(choice.get(this.random.nextInt(choice.size())), false);
	}

	@Override
	public void started(Member member) {
	}

	@Override
	public void finished(Member member, RouteSample sample) {
	}

	@Override
	public void updateMembers(Collection<Member> view) {
		this.members = List.copyOf(view);
	}

}
