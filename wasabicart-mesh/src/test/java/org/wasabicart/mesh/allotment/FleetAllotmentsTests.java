package org.wasabicart.mesh.allotment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.Test;

import org.wasabicart.core.allotment.Allotment;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.workspace.WorkspaceName;
import org.wasabicart.wire.generated.mesh.MeshAllotmentDemand;
import org.wasabicart.wire.generated.mesh.MeshAllotmentGrant;
import org.wasabicart.wire.generated.mesh.MeshAllotmentReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Nodes that exchange encoded messages in virtual time. Guards against a node that
 * follows no coordinator, or one that does not answer, and against harm by messages of
 * foreign nodes.
 */
class FleetAllotmentsTests {

	private static final WorkspaceName WORKSPACE = new WorkspaceName("workspace");

	private final List<Node> nodes = new ArrayList<>();

	private long now = TimeUnit.SECONDS.toNanos(100);

	private int messages;

	private void startNodes(int count, Allotment allotment) {
		for (int i = 0; i < count; i++) {
			this.nodes.add(new Node(new NodeId("n" + i)));
		}
		this.nodes.forEach((node) -> node.allotments.configure(Map.of(WORKSPACE, allotment)));
	}

	private void run(long milliseconds) {
		for (long passed = 0; passed < milliseconds; passed += FleetAllotments.TICK_MILLISECONDS) {
			this.now += TimeUnit.MILLISECONDS.toNanos(FleetAllotments.TICK_MILLISECONDS);
			this.nodes.forEach((node) -> node.allotments.tick(this.now));
		}
	}

	private boolean admitted(Node node) {
		return node.allotments.admit(WORKSPACE, TimeUnit.SECONDS.toNanos(1), this.now).retryAfterIfRefused().isEmpty();
	}

	private Node coordinator() {
		NodeId id = this.nodes.get(0).allotments.coordinatorNode().orElseThrow();
		return this.nodes.stream().filter((node) -> node.id.equals(id)).findFirst().orElseThrow();
	}

	@Test
	void nodesWithoutLimitsSendNothing() {
		startNodes(3, Allotment.NONE);
		run(2000);
		assertThat(admitted(this.nodes.get(0))).isTrue();
		assertThat(this.messages).isZero();
	}

	@Test
	void demandAtOneNodeUsesTheAllotmentOfTheFleet() {
		startNodes(4, new Allotment(100, 100));
		run(4000);
		int admitted = 0;
		for (int i = 0; i < 300; i++) {
			admitted += admitted(this.nodes.get(1)) ? 1 : 0;
			run(20);
		}
		assertThat(admitted).isEqualTo(300);
	}

	@Test
	void requestsAboveTheAllotmentAreRefusedWithADelay() {
		startNodes(3, new Allotment(10, 10));
		run(4000);
		int admitted = 0;
		for (int i = 0; i < 2500; i++) {
			admitted += admitted(this.nodes.get(i % 3)) ? 1 : 0;
			run((i % 10 == 0) ? 20 : 0);
		}
		assertThat(admitted).isBetween(50, (10 * 5 + 10) * 11 / 10 + 20);
		assertThat(this.nodes.get(0).allotments.admit(WORKSPACE, TimeUnit.SECONDS.toNanos(1), this.now)
			.retryAfterIfRefused()).hasValueSatisfying(
					(delay) -> assertThat(delay.toMillis()).isBetween(10L, TimeUnit.SECONDS.toMillis(1) / 3));
	}

	@Test
	void returnedRequestsAreNotCounted() {
		startNodes(2, new Allotment(10, 10));
		run(4000);
		for (int i = 0; i < 400; i++) {
			AllotmentPermit permit = this.nodes.get(0).allotments.admit(WORKSPACE, TimeUnit.SECONDS.toNanos(1),
					this.now);
			assertThat(permit.retryAfterIfRefused()).describedAs("request %d", i).isEmpty();
			permit.returnUnused();
			permit.returnUnused();
			run(40);
		}
	}

	@Test
	void nextNodeTakesOverFromACoordinatorThatDoesNotAnswer() {
		startNodes(4, new Allotment(100, 100));
		run(4000);
		Node lost = coordinator();
		lost.answering = false;
		this.nodes.remove(lost);
		run(2500);
		assertThat(coordinator()).isNotEqualTo(lost);
		assertThat(this.nodes).allSatisfy((node) -> assertThat(node.allotments.coordinatorNode())
			.isEqualTo(this.nodes.get(0).allotments.coordinatorNode()));
		run(1000);
		assertThat(admitted(this.nodes.get(0))).isTrue();
	}

	// Guards against a rest of the fleet that lends only its share long after the other
	// nodes were lost.
	@Test
	void restOfTheFleetLendsTheWholeAllotmentAfterThirtySeconds() {
		startNodes(4, new Allotment(100, 100));
		run(4000);
		this.nodes.subList(2, 4).clear();
		run(35_000);
		int refused = 0;
		for (int i = 0; i < 500; i++) {
			refused += admitted(this.nodes.get(i % 2)) ? 0 : 1;
			run((i % 5 == 0) ? 60 : 0);
		}
		assertThat(refused).isZero();
	}

	@Test
	void stoppingCoordinatorIsLeftWithoutAGap() {
		startNodes(4, new Allotment(100, 100));
		run(4000);
		Node stopped = coordinator();
		stopped.stopping = true;
		stopped.allotments.stop();
		int refused = 0;
		for (int i = 0; i < 100; i++) {
			refused += admitted(this.nodes.get(i % 4)) ? 0 : 1;
			run(20);
		}
		assertThat(refused).isZero();
	}

	// Guards against a burst of the whole allotment at each node of a fleet that starts
	// together while the entries of its nodes are missing.
	@Test
	void nodesThatDoNotKnowEachOtherLendTheirSharesOnly() {
		startNodes(12, new Allotment(100, 50));
		this.nodes.forEach((node) -> {
			node.alone = true;
			node.allotments.fleetListed(OptionalInt.of(12));
		});
		int admitted = 0;
		for (int i = 0; i < 1100; i++) {
			admitted += admitted(this.nodes.get(i % 12)) ? 1 : 0;
			run((i % 10 == 0) ? 20 : 0);
		}
		this.nodes.forEach((node) -> node.alone = false);
		for (int i = 0; i < 1500; i++) {
			admitted += admitted(this.nodes.get(i % 12)) ? 1 : 0;
			run((i % 10 == 0) ? 20 : 0);
		}
		assertThat(admitted).isBetween(100, (100 * 5 + 50) * 11 / 10 + 20);
	}

	@Test
	void nodeThatHasNotListedTheFleetDoesNotLend() {
		startNodes(1, new Allotment(100, 100));
		Node node = new Node(new NodeId("unlisted"), OptionalInt.empty());
		node.allotments.configure(Map.of(WORKSPACE, new Allotment(100, 100)));
		this.nodes.set(0, node);
		int admitted = 0;
		for (int i = 0; i < 100; i++) {
			admitted += admitted(node) ? 1 : 0;
			run(20);
		}
		assertThat(admitted).isEqualTo(3);
		run(2000);
		for (int i = 0; i < 50; i++) {
			admitted += admitted(node) ? 1 : 0;
			run(20);
		}
		assertThat(admitted).isGreaterThan(40);
	}

	@Test
	void messagesOfForeignNodesDoNoHarm() throws InvalidProtocolBufferException {
		startNodes(2, new Allotment(10, 10));
		run(4000);
		SplittableRandom random = new SplittableRandom(1);
		for (int i = 0; i < 2000; i++) {
			MeshAllotmentReport.Builder report = MeshAllotmentReport.newBuilder()
				.setSequence(random.nextLong())
				.setSession(random.nextLong(-1, 5))
				.setAcknowledged(random.nextLong(-1, 5))
				.setCounted(true);
			for (int entry = random.nextInt(2) * 1000; entry > 0; entry--) {
				report.addDemands(MeshAllotmentDemand.newBuilder()
					.setWorkspace((entry % 2 == 0) ? "\u0000 not a name" : "unknown-" + entry)
					.setWanted(random.nextInt())
					.setHeld(random.nextInt())
					.setSpent(random.nextLong()));
			}
			Node node = this.nodes.get(i % 2);
			node.allotments.received("foreign", MeshAllotmentReport.parseFrom(report.build().toByteArray()),
					(grant) -> assertThat(grant.getSerializedSize()).isLessThan(64 * 1024));
			node.allotments.granted(new Link(node, node),
					MeshAllotmentGrant.newBuilder().setSequence(random.nextLong()).build());
		}
		run(100);
		assertThat(admitted(this.nodes.get(0))).isTrue();
		assertThat(admitted(this.nodes.get(1))).isTrue();
	}

	/** One node. */
	private final class Node {

		private final NodeId id;

		private final Map<Node, Link> links = new HashMap<>();

		private final FleetAllotments allotments;

		private boolean answering = true;

		private boolean stopping;

		private boolean alone;

		Node(NodeId id) {
			this(id, OptionalInt.of(1));
		}

		Node(NodeId id, OptionalInt recordedSize) {
			this.id = id;
			this.allotments = new FleetAllotments(id, this::links, new SplittableRandom(1),
					() -> FleetAllotmentsTests.this.now);
			this.allotments.fleetListed(recordedSize);
		}

		private List<Link> links() {
			return FleetAllotmentsTests.this.nodes.stream()
				.filter((node) -> node != this && !this.alone)
				.map((node) -> this.links.computeIfAbsent(node, (other) -> new Link(this, other)))
				.toList();
		}

	}

	/** Link without delay. */
	private final class Link implements FleetLink {

		private final Node from;

		private final Node to;

		Link(Node from, Node to) {
			this.from = from;
			this.to = to;
		}

		@Override
		public NodeId node() {
			return this.to.id;
		}

		@Override
		public boolean reachable() {
			return true;
		}

		@Override
		public boolean stopping() {
			return this.to.stopping;
		}

		@Override
		public Object connection() {
			return this;
		}

		@Override
		public void send(MeshAllotmentReport report) {
			FleetAllotmentsTests.this.messages++;
			if (this.to.answering) {
				this.to.allotments.received(this, report, (grant) -> this.from.allotments.granted(this, grant));
			}
		}

		@Override
		public void ping() {
		}

	}

}
