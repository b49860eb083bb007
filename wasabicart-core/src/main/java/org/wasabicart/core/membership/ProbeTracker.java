package org.wasabicart.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;

/**
 * Probes that have not been answered yet, those on behalf of other nodes included.
 */
final class ProbeTracker {

	private final Map<Long, Probe> probes = new HashMap<>();

	private final Map<Long, Relayed> relayed = new HashMap<>();

	private long sequence;

	long nextSequence() {
		this.sequence++;
		return this.sequence;
	}

	Probe start(MemberEntry target, long now, long directTimeout) {
		Probe probe = new Probe(nextSequence(), target.id(), target.instance(), target.member.address(), now,
				now + directTimeout);
		this.probes.put(probe.sequence, probe);
		return probe;
	}

	boolean isProbing(NodeId id) {
		for (Probe probe : this.probes.values()) {
			if (probe.target.equals(id)) {
				return true;
			}
		}
		return false;
	}

	long startRelayed(NodeAddress requester, long requesterSequence, long expiry) {
		long probeSequence = nextSequence();
		this.relayed.put(probeSequence, new Relayed(requester, requesterSequence, expiry));
		return probeSequence;
	}

	Probe answered(long probeSequence) {
		return this.probes.remove(probeSequence);
	}

	Relayed relayedAnswered(long probeSequence) {
		return this.relayed.remove(probeSequence);
	}

	List<Probe> timedOut(long now) {
		if (this.probes.isEmpty()) {
			return List.of();
		}
		List<Probe> timedOut = new ArrayList<>();
		for (Probe probe : this.probes.values()) {
			if (now - probe.deadline >= 0) {
				timedOut.add(probe);
			}
		}
		return timedOut;
	}

	void forget(Probe probe) {
		this.probes.remove(probe.sequence);
	}

	void clear() {
		this.probes.clear();
	}

	void expireRelayed(long now) {
		for (Iterator<Relayed> iterator = this.relayed.values().iterator(); iterator.hasNext();) {
			if (now - iterator.next().expiry() >= 0) {
				iterator.remove();
			}
		}
	}

	static final class Probe {

		final long sequence;

		final NodeId target;

		final InstanceNumber instance;

		final NodeAddress address;

		final long start;

		long deadline;

		boolean indirect;

		private Probe(long sequence, NodeId target, InstanceNumber instance, NodeAddress address, long start,
				long deadline) {
			this.sequence = sequence;
			this.target = target;
			this.instance = instance;
			this.address = address;
			this.start = start;
			this.deadline = deadline;
		}

	}

	/**
	 * Probe on behalf of another node.
	 *
	 * @param requester address of the other node
	 * @param sequence sequence number of the other node's request
	 * @param expiry time at which the probe is forgotten
	 */
	record Relayed(NodeAddress requester, long sequence, long expiry) {
	}

}
