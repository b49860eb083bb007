package org.wasabicart.mesh;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.MemberStatus;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.ServiceName;

/**
 * The other nodes that are known to this node.
 */
final class Peers {

	private static final Logger logger = Logger.getLogger(Peers.class);

	/**
	 * Time for which a node stays in use without a store entry. An entry that expired
	 * during a failure of the store is written again within two seconds after the store
	 * serves its node again. The time starts then if the node says over its link that the
	 * store does not serve it: its server can still take calls.
	 */
	private static final long MISSING_ENTRY_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(2500);

	/**
	 * Time for which no node is removed after the store has returned from an older copy.
	 * As long as the lease of an entry, so that nodes that cannot reach the store right
	 * away have the same time as usual to write their entries.
	 */
	private static final long RESTORE_GRACE = MemberEntryPublisher.LEASE_TIME_TO_LIVE.toNanos();

	/**
	 * Interval at which nodes without an entry are asked whether the store serves them.
	 */
	private static final long MISSING_PING_INTERVAL = TimeUnit.MILLISECONDS.toNanos(500);

	private final NodeId self;

	private final PeerEnvironment environment;

	private final Map<NodeId, Peer> peers = new HashMap<>();

	private final Map<NodeId, Long> missingSince = new HashMap<>();

	private final Map<ServiceName, List<MemberStatus>> byService = new HashMap<>();

	private long lastMissingPing = System.nanoTime();

	private long restoreGraceEnd = System.nanoTime();

	Peers(NodeId self, PeerEnvironment environment) {
		this.self = Objects.requireNonNull(self, "self");
		this.environment = Objects.requireNonNull(environment, "environment");
	}

	/**
	 * A node has announced its server in the store.
	 * @param member server
	 */
	void announced(MeshMember member) {
		if (member.node().equals(this.self)) {
			return;
		}
		this.missingSince.remove(member.node());
		Peer peer = this.peers.get(member.node());
		if (peer == null) {
			logger.infof("event=member-found node=%s service=%s instance=%s state=%s", member.node(), member.service(),
					member.instance(), member.state());
			peer = new Peer(member, this.environment);
			this.peers.put(member.node(), peer);
			peer.tick(System.nanoTime(), IdlePings.MINIMUM_DELAY);
			rebuildServiceIndex();
		}
		else if (!peer.status().member().equals(member)) {
			logger.infof("event=member-changed node=%s service=%s instance=%s state=%s", member.node(),
					member.service(), member.instance(), member.state());
			boolean serviceChanged = !peer.status().member().service().equals(member.service());
			peer.announced(member);
			if (serviceChanged) {
				rebuildServiceIndex();
			}
		}
	}

	/**
	 * The entry of a node is missing from the store.
	 * @param node node
	 */
	void entryMissing(NodeId node) {
		if (this.peers.containsKey(node)) {
			this.missingSince.putIfAbsent(node, System.nanoTime());
		}
	}

	/**
	 * Processes the complete list of store entries.
	 * @param members all servers in the store
	 */
	void updateMembers(Collection<MeshMember> members) {
		members.forEach(this::announced);
		List<NodeId> present = members.stream().map(MeshMember::node).toList();
		this.peers.keySet().stream().filter((node) -> !present.contains(node)).toList().forEach(this::entryMissing);
	}

	/**
	 * The store has returned from an older copy, so entries may be missing although their
	 * nodes run.
	 * @param now current time in nanoseconds
	 */
	void storeRestored(long now) {
		this.restoreGraceEnd = now + RESTORE_GRACE;
	}

	/**
	 * Restarts the timeouts of missing entries, since this node was paused and may not
	 * have read that they have returned.
	 * @param now current time in nanoseconds
	 */
	void restartMissingTimeouts(long now) {
		this.missingSince.replaceAll((node, since) -> now);
	}

	/**
	 * Exchanges the versions of the configurations in force with all other nodes.
	 */
	void pingAll() {
		this.peers.values().forEach(Peer::ping);
	}

	/**
	 * Exchanges the versions of the configurations in force with one other node.
	 * @param random random source
	 */
	void pingAny(RandomGenerator random) {
		if (!this.peers.isEmpty()) {
			this.peers.values().stream().skip(random.nextInt(this.peers.size())).findFirst().ifPresent(Peer::ping);
		}
	}

	private void rebuildServiceIndex() {
		this.byService.clear();
		this.peers.values()
			.forEach((peer) -> this.byService
				.computeIfAbsent(peer.status().member().service(), (service) -> new ArrayList<>())
				.add(peer.status()));
	}

	List<MemberStatus> forService(ServiceName service) {
		return this.byService.getOrDefault(service, List.of());
	}

	Peer get(NodeId node) {
		return this.peers.get(node);
	}

	Collection<Peer> all() {
		return this.peers.values();
	}

	int serviceCount() {
		return this.byService.size();
	}

	void tick(long now, boolean storeReachable) {
		this.missingSince.replaceAll((node, since) -> this.peers.get(node).runsWithoutStore() ? now : since);
		if (!this.missingSince.isEmpty() && now - this.lastMissingPing > MISSING_PING_INTERVAL) {
			this.lastMissingPing = now;
			this.missingSince.keySet().forEach((node) -> this.peers.get(node).ping());
		}
		if (storeReachable && now - this.restoreGraceEnd >= 0) {
			List<NodeId> expired = this.missingSince.entrySet()
				.stream()
				.filter((entry) -> now - entry.getValue() > MISSING_ENTRY_TIMEOUT)
				.map(Map.Entry::getKey)
				.toList();
			expired.forEach(this::remove);
		}
		long idlePingDelay = IdlePings.delay(this.peers.size());
		for (Peer peer : this.peers.values()) {
			peer.tick(now, idlePingDelay);
		}
	}

	private void remove(NodeId node) {
		this.missingSince.remove(node);
		Peer peer = this.peers.remove(node);
		logger.infof("event=member-gone node=%s service=%s", node, peer.status().member().service());
		rebuildServiceIndex();
		peer.remove();
	}

}
