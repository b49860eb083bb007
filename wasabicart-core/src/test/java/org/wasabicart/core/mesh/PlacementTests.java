package org.wasabicart.core.mesh;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against calls that cross failure domains or regions without need, and against
 * calls to servers that are not usable.
 */
class PlacementTests {

	private final Placement placement = new Placement(new FailureDomain("one"), new RegionName("here"),
			new SplittableRandom(1));

	private final MemberStatus localDomain = status("local-domain", "one", "here");

	private final MemberStatus otherDomain = status("other-domain", "two", "here");

	private final MemberStatus otherRegion = status("other-region", "three", "there");

	private static MemberStatus status(String node, String failureDomain, String region) {
		MemberStatus status = new MemberStatus(new MeshMember(new NodeId(node), new NodeAddress("127.0.0.1", 1),
				new FailureDomain(failureDomain), new RegionName(region), new ServiceName("service"),
				new BackendIncarnation("i-" + node, 1), 100, ServerState.READY), new IncarnationRecords());
		status.reported(report(100, 10, 0), 0);
		return status;
	}

	private static MemberLoadReport report(int limit, int running, int waiting) {
		return new MemberLoadReport(limit, running, waiting, Optional.of(RateLimit.NONE), running, false);
	}

	private MemberStatus choose() {
		return this.placement.choose(List.of(this.localDomain, this.otherDomain, this.otherRegion), (node) -> false,
				false, 0);
	}

	@Test
	void localFailureDomainIsPreferred() {
		assertThat(choose()).isSameAs(this.localDomain);
	}

	@Test
	void otherFailureDomainIsUsedBeforeTheLocalOneIsFull() {
		this.localDomain.reported(report(100, 80, 0), 0);
		assertThat(choose()).isSameAs(this.otherDomain);
	}

	@Test
	void otherRegionIsUsedOnlyWithoutAUsableLocalServer() {
		this.localDomain.reported(report(100, 100, 50), 0);
		this.otherDomain.reported(report(100, 100, 50), 0);
		assertThat(choose()).isNotSameAs(this.otherRegion);
		this.localDomain.reachable(false);
		this.otherDomain.avoid(10);
		assertThat(choose()).isSameAs(this.otherRegion);
	}

	private static MemberLoadReport limitedReport(double limit, double requestRate) {
		return new MemberLoadReport(100, 10, 0, Optional.of(new RateLimit(limit)), requestRate, false);
	}

	@Test
	void otherRegionIsUsedWhileTheLocalRateLimitsAreUsedUp() {
		this.localDomain.reported(limitedReport(20, 21), 0);
		this.otherDomain.reported(limitedReport(20, 21), 0);
		assertThat(choose()).isSameAs(this.otherRegion);
	}

	@Test
	void busyServerOfAnotherRegionIsNotUsedInPlaceOfRateLimitedServers() {
		this.localDomain.reported(limitedReport(20, 21), 0);
		this.otherDomain.reported(limitedReport(20, 25), 0);
		this.otherRegion.reported(report(100, 95, 0), 0);
		assertThat(choose()).isSameAs(this.localDomain);
	}

	@Test
	void reportedRequestRateDecays() {
		this.localDomain.reported(limitedReport(20, 25), 0);
		assertThat(this.localDomain.rateLimitUsedUp(0)).isTrue();
		assertThat(this.localDomain.rateLimitUsedUp(TimeUnit.SECONDS.toNanos(1))).isFalse();
	}

	@Test
	void newIncarnationUnderTheSameIdHasNoRateLimit() {
		this.localDomain.reported(limitedReport(20, 25), 0);
		this.localDomain.member(copyOf(this.localDomain.member(), 2, ServerState.READY));
		assertThat(this.localDomain.rateLimit()).isEmpty();
	}

	private static MeshMember copyOf(MeshMember member, long born, ServerState state) {
		return new MeshMember(member.node(), member.address(), member.failureDomain(), member.region(),
				member.service(), new BackendIncarnation(member.instance(), born), member.slots(), state);
	}

	@Test
	void leavingServerIsNotUsedThoughItIsAnnouncedAsReadyAgain() {
		MeshMember member = this.localDomain.member();
		this.localDomain.member(copyOf(member, 1, ServerState.LEAVING));
		this.localDomain.member(copyOf(member, 1, ServerState.READY));
		assertThat(choose()).isSameAs(this.otherDomain);
	}

	@Test
	void newIncarnationUnderTheIdOfALeavingServerIsUsed() {
		this.localDomain.reported(new MemberLoadReport(100, 10, 0, Optional.empty(), 10, true), 0);
		assertThat(choose()).isSameAs(this.otherDomain);
		this.localDomain.member(copyOf(this.localDomain.member(), 2, ServerState.READY));
		assertThat(choose()).isSameAs(this.localDomain);
	}

	@Test
	void otherRegionIsNotUsedIfOnlyTheLocalRegionIsAllowed() {
		this.localDomain.reachable(false);
		this.otherDomain.reachable(false);
		assertThat(this.placement.choose(List.of(this.localDomain, this.otherDomain, this.otherRegion), (node) -> false,
				true, 0))
			.isNull();
	}

	@Test
	void failingServerIsNotPreferred() {
		for (int i = 0; i < 20; i++) {
			this.localDomain.recordOutcome(i % 2 == 0);
		}
		assertThat(choose()).isSameAs(this.otherDomain);
	}

	@Test
	void avoidedServerIsUsableAgainAtTheGivenTime() {
		this.localDomain.avoid(10);
		assertThat(this.localDomain.usable(9)).isFalse();
		assertThat(this.localDomain.usable(10)).isTrue();
	}

	@Test
	void callsSentSinceTheReportCountAsLoad() {
		for (int i = 0; i < 60; i++) {
			this.localDomain.sent();
		}
		assertThat(choose()).isSameAs(this.otherDomain);
	}

}
