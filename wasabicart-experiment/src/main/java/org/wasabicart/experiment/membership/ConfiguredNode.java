package org.wasabicart.experiment.membership;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wasabicart.core.membership.PeerMessage;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.Revision;
import org.wasabicart.node.membership.ConfigurationDistribution;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.store.StoreClient;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Distribution of the configuration on one node of a fleet.
 */
final class ConfiguredNode implements FleetExtension, PeerTransport {

	/** Overhead of a pull: headers, frame and a share of the connection's handshake. */
	private static final int PULL_OVERHEAD_BYTES = 600;

	private final ConfigurationFleet fleet;

	private final FleetNode node;

	private final ConfigurationDistribution distribution;

	private List<Member> members = List.of();

	private long membersVersion = -1;

	private long lastAdoptedRevision;

	ConfiguredNode(ConfigurationFleet fleet, FleetNode node, StoreClient store) {
		this.fleet = fleet;
		this.node = node;
		this.distribution = new ConfigurationDistribution(node.local, Optional.of(store), this, this::adopt,
				node.controller::setContacts, fleet.membership().time(), fleet.membership().random().split(),
				this::execute);
	}

	private void execute(Runnable task) {
		if (this.node.running) {
			task.run();
		}
	}

	private boolean adopt(Revision revision, byte[] json) {
		if (!this.fleet.isValid(revision, json)) {
			return false;
		}
		if (revision.value() <= this.lastAdoptedRevision) {
			this.fleet.countReversion();
		}
		this.lastAdoptedRevision = revision.value();
		Member local = this.node.local;
		this.node.controller.announce(new Member(local.id(), local.instance(), local.service(), local.failureDomain(),
				local.region(), local.address(), local.state(), local.slots(), revision));
		return true;
	}

	long revision() {
		return this.lastAdoptedRevision;
	}

	@Override
	public void tick() {
		if (this.membersVersion != this.node.controller.recordVersion()) {
			this.membersVersion = this.node.controller.recordVersion();
			this.members = List.copyOf(this.node.controller.members());
		}
		this.distribution.tick(this.members);
	}

	@Override
	public void received(PeerMessage message) {
		Revision revision = message.sender().revision();
		if (revision.value() > this.lastAdoptedRevision) {
			this.distribution.recordNewerRevision(message.sender().address(), revision);
		}
	}

	@Override
	public CompletableFuture<ControlResponse> sendControlRequest(NodeAddress address, ControlRequest request,
			Duration timeout) {
		CompletableFuture<ControlResponse> future = new CompletableFuture<>();
		MembershipFleet membership = this.fleet.membership();
		VirtualTime time = membership.time();
		long now = time.nanoseconds();
		time.schedule(now + timeout.toNanos(),
				() -> future.completeExceptionally(new IOException("The peer did not respond in time")));
		FleetNode peer = membership.nodeAt(address);
		if (peer == null || membership.conditions().isCut(this.node.index, peer.index)
				|| membership.conditions().isCut(peer.index, this.node.index)) {
			return future;
		}
		time.schedule(now + membership.delay(this.node.index, peer.index), () -> answer(peer, request, future));
		return future;
	}

	private void answer(FleetNode peer, ControlRequest request, CompletableFuture<ControlResponse> future) {
		if (!peer.running || peer.paused) {
			return;
		}
		MembershipFleet membership = this.fleet.membership();
		ControlResponse response = ((ConfiguredNode) peer.extension).distribution.answer(request);
		this.fleet.countPull(PULL_OVERHEAD_BYTES + response.getSerializedSize(),
				membership.layout().regionOf(peer.index) != membership.layout().regionOf(this.node.index));
		membership.time()
			.schedule(membership.time().nanoseconds() + membership.delay(peer.index, this.node.index),
					() -> future.complete(response));
	}

	@Override
	public CallHandle send(NodeAddress address, CallRequest request, CallListener listener) {
		throw new UnsupportedOperationException("The experiment sends no calls");
	}

}
