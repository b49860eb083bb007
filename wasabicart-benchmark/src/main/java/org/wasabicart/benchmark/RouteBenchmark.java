package org.wasabicart.benchmark;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.Revision;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.routing.RegionLink;
import org.wasabicart.core.routing.RouteDecision;
import org.wasabicart.core.routing.RouteSample;
import org.wasabicart.core.routing.Router;
import org.wasabicart.core.routing.Routers;

/**
 * Measures the choice of one member, including the reports of the start and the end of
 * the call. All members belong to one service, in two regions with three failure domains
 * each.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RouteBenchmark {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final int FAILURE_DOMAINS = 6;

	private static final RouteSample COMPLETED = new RouteSample(5_000_000, new Outcome.Completed(200), 500, 500);

	private static final RouteSample UNREACHABLE = new RouteSample(5_000_000,
			new Outcome.Refused(RefusalReason.UNREACHABLE, Duration.ZERO), 0, 0);

	/** Number of members of the service. */
	@Param({ "10", "100", "680" })
	private int servers;

	/** Percentage of the members that the router has ejected. */
	@Param({ "0", "50" })
	private int ejectedPercent;

	private Router router;

	private RequestContext context;

	private long nowNanoseconds;

	/**
	 * Creates the router with its members and ejects some of them.
	 */
	@Setup
	public void createRouter() {
		this.context = Requests.contexts(1, 1)[0];
		this.router = Routers.locality(new FailureDomain("domain-0"), new RegionName("region-0"),
				new RegionLink(() -> this.nowNanoseconds), () -> this.nowNanoseconds, new SplittableRandom(1));
		List<Member> members = new ArrayList<>();
		for (int index = 0; index < this.servers; index++) {
			members.add(member(index));
		}
		this.router.updateMembers(members);
		for (int index = 0; index < this.servers * this.ejectedPercent / 100; index++) {
			this.router.callStarted(members.get(index));
			this.router.callFinished(members.get(index), UNREACHABLE);
		}
	}

	private static Member member(int index) {
		int domain = index % FAILURE_DOMAINS;
		return new Member(new NodeId("node-" + index), new InstanceNumber(1), SERVICE,
				new FailureDomain("domain-" + domain), new RegionName("region-" + domain % 2),
				new NodeAddress("127.30.0.1", 1000 + index), MemberState.SERVING, 100, new Revision(1));
	}

	/**
	 * Chooses a member, then reports the start and the end of the call.
	 * @return the decision
	 */
	@Benchmark
	public RouteDecision chooseAndReport() {
		RouteDecision decision = this.router.choose(SERVICE, this.context, 100, Set.of());
		if (decision instanceof RouteDecision.Chosen chosen) {
			this.router.callStarted(chosen.member());
			this.router.callFinished(chosen.member(), COMPLETED);
		}
		return decision;
	}

}
