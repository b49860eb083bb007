package org.wasabicart.core.mesh;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against work that crosses failure domains or regions without need, and against
 * work for servers that take none.
 */
class PlacementTests {

	private final Placement placement = new Placement(new FailureDomain("one"), new RegionName("here"),
			new SplittableRandom(1));

	private final MemberStatus near = status("near", "one", "here");

	private final MemberStatus beside = status("beside", "two", "here");

	private final MemberStatus far = status("far", "three", "there");

	private static MemberStatus status(String node, String failureDomain, String region) {
		MemberStatus status = new MemberStatus(
				new MeshMember(new NodeId(node), new NodeAddress("127.0.0.1", 1), new FailureDomain(failureDomain),
						new RegionName(region), new ServiceName("service"), "i-" + node, 100, ServerState.READY));
		status.reported(new MemberLoadReport(100, 10, 0));
		return status;
	}

	private MemberStatus choose() {
		return this.placement.choose(List.of(this.near, this.beside, this.far), (node) -> false, false, 0);
	}

	@Test
	void ownFailureDomainIsPreferred() {
		assertThat(choose()).isSameAs(this.near);
	}

	@Test
	void workSpillsOverWithinTheRegionBeforeCallersWait() {
		this.near.reported(new MemberLoadReport(100, 80, 0));
		assertThat(choose()).isSameAs(this.beside);
	}

	@Test
	void regionIsLeftOnlyWithoutAServer() {
		this.near.reported(new MemberLoadReport(100, 100, 50));
		this.beside.reported(new MemberLoadReport(100, 100, 50));
		assertThat(choose()).isNotSameAs(this.far);
		this.near.reachable(false);
		this.beside.avoid(10);
		assertThat(choose()).isSameAs(this.far);
	}

	@Test
	void overloadedRegionIsNotLeft() {
		this.near.reachable(false);
		this.beside.reachable(false);
		assertThat(this.placement.choose(List.of(this.near, this.beside, this.far), (node) -> false, true, 0)).isNull();
	}

	@Test
	void serverThatFailsLosesItsWork() {
		for (int i = 0; i < 20; i++) {
			this.near.judged(i % 2 == 0);
		}
		assertThat(choose()).isSameAs(this.beside);
	}

	@Test
	void avoidedServerComesBack() {
		this.near.avoid(10);
		assertThat(this.near.usable(9)).isFalse();
		assertThat(this.near.usable(10)).isTrue();
	}

	@Test
	void callsSentSinceTheReportCount() {
		for (int i = 0; i < 60; i++) {
			this.near.sent();
		}
		assertThat(choose()).isSameAs(this.beside);
	}

}
