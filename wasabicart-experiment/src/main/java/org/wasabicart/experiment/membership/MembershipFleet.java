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

	/** Headers of IP version 4 and UDP. */
	static final int HEADER_BYTES = 28;

	private static final byte[] KEY = "key of the experiment".getBytes(StandardCharsets.UTF_8);

	private static final int SEEDS = 3;

	private static final int SOCKET_BUFFER_MESSAGES = 300;

	private static final long TICK = MembershipSettings.TICK_INTERVAL.toNanos();

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

	private Function<FleetNode, FleetExtension> extensions = (node) -> FleetExtension.NONE;

	MembershipFleet(FleetLayout layout, MembershipSettings settings, long seed) {
		this.layout = layout;
		this.settings = settings;
		this.random = new SplittableRandom(seed);
	}

	void extend(Function<FleetNode, FleetExtension> factory) {
		this.extensions = factory;
	}

	FleetNode at(NodeAddress address) {
		return this.byAddress.get(address);
	}

	/**
	 * Starts all nodes, spread over some time.
	 * @param spread time within which they start
	 */
	void startAll(long spread) {
		for (int index = 0; index < this.layout.nodes(); index++) {
			this.nodes.add(null);
		}
		for (int index = 0; index < this.layout.nodes(); index++) {
			int node = index;
			this.time.schedule(this.time.nanoseconds() + spread * index / this.layout.nodes(),
					() -> start(node, "node-" + node, 1));
		}
	}

	FleetNode start(int index, String id, long instance) {
		Member local = this.layout.member(index, id, instance, MemberState.SERVING);
		List<NodeAddress> seeds = new ArrayList<>();
		for (int seed = 0; seed < Math.min(SEEDS, this.layout.nodes()); seed++) {
			seeds.add(this.layout.addressOf(seed));
		}
		MembershipController controller = new MembershipController(this.settings, local, seeds, this.time,
				this.random.split());
		FleetNode node = new FleetNode(index, local, controller, new MembershipCodec(Optional.of(KEY)),
				this.time.nanoseconds());
		node.extension = this.extensions.apply(node);
		this.nodes.set(index, node);
		this.byAddress.put(local.address(), node);
		scheduleTick(node, this.time.nanoseconds() + this.random.nextLong(TICK));
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
		observe(node);
		scheduleTick(node, this.time.nanoseconds() + TICK);
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

	long delay(int from, int to) {
		long jitter = this.random.nextLong(TimeUnit.MICROSECONDS.toNanos(300));
		if (this.layout.regionOf(from) != this.layout.regionOf(to)) {
			return TimeUnit.MILLISECONDS.toNanos(12) + jitter;
		}
		boolean near = this.layout.failureDomainOf(from) == this.layout.failureDomainOf(to);
		return TimeUnit.MICROSECONDS.toNanos(near ? 200 : 1_500) + jitter;
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
			observe(node);
		}
	}

	private void observe(FleetNode node) {
		if (!this.recording) {
			return;
		}
		for (NodeId removed : node.takeRemovals()) {
			this.recorder.removed(node, removed, this.time.nanoseconds());
		}
	}

	// Begins to record removals.
	void record() {
		this.recording = true;
		running().forEach(FleetNode::takeRemovals);
	}

	boolean isConverged() {
		long digest = running().get(0).controller.digest();
		return running().stream().allMatch((node) -> node.controller.digest() == digest)
				&& running().get(0).controller.members().size() == running().size();
	}

	/**
	 * Advances time until all views agree with the running nodes.
	 * @param limit longest time to wait
	 * @return time that it took, or {@code -1}
	 */
	long awaitConvergence(long limit) {
		long start = this.time.nanoseconds();
		while (this.time.nanoseconds() - start < limit) {
			this.time.runUntil(this.time.nanoseconds() + TICK);
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
