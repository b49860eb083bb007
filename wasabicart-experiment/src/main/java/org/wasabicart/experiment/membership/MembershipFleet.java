package org.wasabicart.experiment.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.wasabicart.core.membership.MembershipController;
import org.wasabicart.core.membership.MembershipSettings;
import org.wasabicart.core.membership.OutgoingMessage;
import org.wasabicart.core.membership.PeerMessage;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.wire.MembershipCodec;

/**
 * Fleet of real controllers over an in-process transport in virtual time. Each datagram
 * is encoded, authenticated and decoded as between real nodes.
 */
final class MembershipFleet {

	/** IPv4 and UDP headers of a datagram. */
	static final int HEADER_BYTES = 28;

	private static final byte[] SHARED_KEY = "key of the experiment".getBytes(StandardCharsets.UTF_8);

	private static final int SEED_NODES = 3;

	private static final int SOCKET_BUFFER_MESSAGES = 300;

	private static final long TICK_NANOSECONDS = MembershipSettings.TICK_INTERVAL.toNanos();

	private final VirtualTime time = new VirtualTime();

	private final SplittableRandom random;

	private final FleetLayout layout;

	private final MembershipSettings settings;

	private final NetworkConditions conditions = new NetworkConditions();

	private final List<FleetNode> nodes = new ArrayList<>();

	private final Map<NodeAddress, FleetNode> byAddress = new HashMap<>();

	private final RemovalRecorder recorder = new RemovalRecorder();

	private long sentBytes;

	private long sentMessages;

	private long crossRegionBytes;

	private long largestDatagram;

	private boolean recording;

	private Function<FleetNode, FleetExtension> extensionFactory = (node) -> FleetExtension.NONE;

	MembershipFleet(FleetLayout layout, MembershipSettings settings, long seed) {
		this.layout = layout;
		this.settings = settings;
		this.random = new SplittableRandom(seed);
	}

	void setExtensionFactory(Function<FleetNode, FleetExtension> factory) {
		this.extensionFactory = factory;
	}

	FleetNode nodeAt(NodeAddress address) {
		return this.byAddress.get(address);
	}

	/**
	 * Starts all nodes at equal intervals.
	 * @param period time within which they start, in nanoseconds
	 */
	void startAll(long period) {
		for (int index = 0; index < this.layout.nodes(); index++) {
			this.nodes.add(null);
		}
		for (int index = 0; index < this.layout.nodes(); index++) {
			int node = index;
			this.time.schedule(this.time.nanoseconds() + period * index / this.layout.nodes(),
					() -> start(node, "node-" + node, 1));
		}
	}

	FleetNode start(int index, String id, long instance) {
		Member local = this.layout.member(index, id, instance, MemberState.SERVING);
		List<NodeAddress> seedAddresses = new ArrayList<>();
		for (int seedNode = 0; seedNode < Math.min(SEED_NODES, this.layout.nodes()); seedNode++) {
			seedAddresses.add(this.layout.addressOf(seedNode));
		}
		MembershipController controller = new MembershipController(this.settings, local, seedAddresses, this.time,
				this.random.split());
		FleetNode node = new FleetNode(index, local, controller, new MembershipCodec(Optional.of(SHARED_KEY)),
				this.time.nanoseconds());
		node.extension = this.extensionFactory.apply(node);
		this.nodes.set(index, node);
		this.byAddress.put(local.address(), node);
		scheduleTick(node, this.time.nanoseconds() + this.random.nextLong(TICK_NANOSECONDS));
		return node;
	}

	void crash(FleetNode node) {
		node.running = false;
		node.socketBuffer.clear();
	}

	void leave(FleetNode node) {
		send(node, node.controller.leave());
		crash(node);
	}

	void pause(FleetNode node, long duration) {
		node.paused = true;
		this.time.schedule(this.time.nanoseconds() + duration, () -> resume(node));
	}

	private void resume(FleetNode node) {
		node.paused = false;
		if (!node.running) {
			return;
		}
		scheduleTick(node, this.time.nanoseconds());
		while (!node.socketBuffer.isEmpty()) {
			process(node, node.socketBuffer.poll());
		}
	}

	private void scheduleTick(FleetNode node, long at) {
		this.time.schedule(at, () -> tick(node));
	}

	private void tick(FleetNode node) {
		if (!node.running || node.paused) {
			return;
		}
		send(node, node.controller.tick());
		node.extension.tick();
		recordRemovals(node);
		scheduleTick(node, this.time.nanoseconds() + TICK_NANOSECONDS);
	}

	private void send(FleetNode from, List<OutgoingMessage> messages) {
		for (OutgoingMessage outgoing : messages) {
			byte[] datagram = from.codec.encode(outgoing.message());
			this.sentMessages++;
			this.sentBytes += datagram.length + HEADER_BYTES;
			this.largestDatagram = Math.max(this.largestDatagram, datagram.length);
			FleetNode to = this.byAddress.get(outgoing.destination());
			if (to != null) {
				transmit(from, to, datagram);
			}
		}
	}

	private void transmit(FleetNode from, FleetNode to, byte[] datagram) {
		if (this.layout.regionOf(from.index) != this.layout.regionOf(to.index)) {
			this.crossRegionBytes += datagram.length + HEADER_BYTES;
		}
		if (this.conditions.isCut(from.index, to.index) || this.random.nextDouble() < this.conditions.loss()) {
			return;
		}
		this.time.schedule(this.time.nanoseconds() + delay(from.index, to.index), () -> arrive(to, datagram));
	}

	// Returns a one-way delay in nanoseconds, with random jitter.
	long delay(int from, int to) {
		long jitter = this.random.nextLong(TimeUnit.MICROSECONDS.toNanos(300));
		if (this.layout.regionOf(from) != this.layout.regionOf(to)) {
			return TimeUnit.MILLISECONDS.toNanos(12) + jitter;
		}
		boolean sameFailureDomain = this.layout.failureDomainOf(from) == this.layout.failureDomainOf(to);
		return TimeUnit.MICROSECONDS.toNanos(sameFailureDomain ? 200 : 1_500) + jitter;
	}

	private void arrive(FleetNode node, byte[] datagram) {
		if (!node.running) {
			return;
		}
		if (node.paused) {
			if (node.socketBuffer.size() < SOCKET_BUFFER_MESSAGES) {
				node.socketBuffer.add(datagram);
			}
			return;
		}
		process(node, datagram);
	}

	private void process(FleetNode node, byte[] datagram) {
		Optional<PeerMessage> message = node.codec.decode(datagram);
		if (message.isPresent()) {
			send(node, node.controller.received(message.get()));
			node.extension.received(message.get());
			recordRemovals(node);
		}
	}

	private void recordRemovals(FleetNode node) {
		if (!this.recording) {
			return;
		}
		for (NodeId removed : node.pollRemovals()) {
			this.recorder.recordRemoval(node, removed, this.time.nanoseconds());
		}
	}

	// Starts to record removals, relative to the current views.
	void startRecording() {
		this.recording = true;
		running().forEach(FleetNode::pollRemovals);
	}

	boolean isConverged() {
		long digest = running().get(0).controller.digest();
		return running().stream().allMatch((node) -> node.controller.digest() == digest)
				&& running().get(0).controller.members().size() == running().size();
	}

	/**
	 * Advances time until all views agree with the running nodes.
	 * @param limit longest time to wait, in nanoseconds
	 * @return nanoseconds that it took, or {@code -1} if the limit was reached
	 */
	long awaitConvergence(long limit) {
		long start = this.time.nanoseconds();
		while (this.time.nanoseconds() - start < limit) {
			this.time.runUntil(this.time.nanoseconds() + TICK_NANOSECONDS);
			if (isConverged()) {
				return this.time.nanoseconds() - start;
			}
		}
		return -1;
	}

	List<FleetNode> running() {
		return this.nodes.stream().filter((node) -> node != null && node.running).toList();
	}

	FleetNode node(int index) {
		return this.nodes.get(index);
	}

	VirtualTime time() {
		return this.time;
	}

	NetworkConditions conditions() {
		return this.conditions;
	}

	RemovalRecorder recorder() {
		return this.recorder;
	}

	FleetLayout layout() {
		return this.layout;
	}

	SplittableRandom random() {
		return this.random;
	}

	long sentBytes() {
		return this.sentBytes;
	}

	long sentMessages() {
		return this.sentMessages;
	}

	long crossRegionBytes() {
		return this.crossRegionBytes;
	}

	long largestDatagram() {
		return this.largestDatagram;
	}

}
