package org.wasabicart.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.NodeId;

/**
 * Probes peers, directly and then through other nodes, suspects those that do not answer,
 * and removes suspected members that have not refuted in time.
 */
final class Prober {

	/** Nodes that are asked to probe a member that did not answer directly. */
	private static final int INDIRECT_PROBERS = 3;

	private final MembershipSettings settings;

	private final MemberTable table;

	private final PeerDirectory directory;

	private final MessageComposer composer;

	private final LocalHealth health;

	private final RandomGenerator random;

	private final ProbeTracker probes = new ProbeTracker();

	private final FollowUpProbes followUps;

	private int ringPosition;

	private boolean started;

	private long nextProbe;

	private long nextFailureDomainProbe;

	private long nextRegionProbe;

	Prober(MembershipSettings settings, MemberTable table, PeerDirectory directory, MessageComposer composer,
			LocalHealth health, RandomGenerator random) {
		this.settings = settings;
		this.table = table;
		this.directory = directory;
		this.composer = composer;
		this.health = health;
		this.random = random;
		this.followUps = new FollowUpProbes(table, random);
	}

	// A probe that was pending during a pause is no evidence against its target.
	// Suspected members get the length of the pause as additional time to refute.
	void resumeAfterPause(long pause) {
		this.probes.clear();
		for (MemberEntry entry : this.table.suspected()) {
			entry.suspectedSince += pause;
		}
	}

	void tick(long now, List<OutgoingMessage> out, Consumer<MemberUpdate> disseminate) {
		if (!this.started) {
			scheduleProbes(now);
		}
		this.probes.expireRelayed(now);
		for (ProbeTracker.Probe probe : this.probes.timedOut(now)) {
			probeTimedOut(probe, now, out, disseminate);
		}
		removeSuspected(now, disseminate);
		startProbes(now, out);
	}

	// Random phases keep nodes that start together from probing at the same moments.
	private void scheduleProbes(long now) {
		this.started = true;
		this.nextProbe = now + this.random.nextLong(this.settings.probeInterval().toNanos());
		this.nextFailureDomainProbe = now + this.random.nextLong(this.settings.failureDomainProbeInterval().toNanos());
		this.nextRegionProbe = now + this.random.nextLong(this.settings.regionProbeInterval().toNanos());
	}

	private void startProbes(long now, List<OutgoingMessage> out) {
		if (now - this.nextProbe >= 0) {
			this.nextProbe = nextTime(this.nextProbe, this.settings.probeInterval().toNanos(), now);
			probe(nextRingTarget(), now, out);
		}
		if (now - this.nextFailureDomainProbe >= 0) {
			this.nextFailureDomainProbe = nextTime(this.nextFailureDomainProbe,
					this.settings.failureDomainProbeInterval().toNanos(), now);
			probe(this.directory.randomOfOtherFailureDomain(this.random), now, out);
		}
		if (now - this.nextRegionProbe >= 0) {
			this.nextRegionProbe = nextTime(this.nextRegionProbe, this.settings.regionProbeInterval().toNanos(), now);
			probe(this.directory.randomOfOtherRegion(this.random), now, out);
		}
		probe(this.followUps.next(now, this.composer.localId()), now, out);
	}

	private static long nextTime(long previous, long interval, long now) {
		long next = previous + interval;
		return (now - next >= 0) ? now + interval : next;
	}

	private MemberEntry nextRingTarget() {
		List<MemberEntry> targets = this.directory.ringTargets();
		if (targets.isEmpty()) {
			return null;
		}
		this.ringPosition = (this.ringPosition + 1) % targets.size();
		return targets.get(this.ringPosition);
	}

	private void probe(MemberEntry target, long now, List<OutgoingMessage> out) {
		if (target == null || this.probes.isProbing(target.id())) {
			return;
		}
		ProbeTracker.Probe probe = this.probes.start(target, now,
				this.settings.directTimeout().toNanos() * this.health.timeoutFactor());
		List<MemberUpdate> firstUpdates = target.suspected ? List.of(target.suspicion(now)) : List.of();
		out.add(this.composer.ping(probe.address, Optional.of(probe.target), probe.sequence, firstUpdates, now));
	}

	private void probeTimedOut(ProbeTracker.Probe probe, long now, List<OutgoingMessage> out,
			Consumer<MemberUpdate> disseminate) {
		MemberEntry entry = this.table.find(probe.target);
		if (entry == null || !entry.instance().equals(probe.instance)) {
			this.probes.forget(probe);
			return;
		}
		if (!probe.indirect) {
			probe.indirect = true;
			probe.deadline = now + this.settings.indirectTimeout().toNanos() * this.health.timeoutFactor();
			requestIndirectProbes(probe, out);
			return;
		}
		this.probes.forget(probe);
		this.health.probeFailed(probe.start);
		if (!entry.suspected && !this.health.isIsolated(now)) {
			MemberUpdate.Suspected suspicion = new MemberUpdate.Suspected(entry.id(), entry.instance(),
					entry.incarnation, 0);
			disseminate.accept(suspicion);
			entry.suspectedLocally = true;
			// Tells the suspected member directly, so that it can refute at once.
			out.add(this.composer.gossipTo(probe.address, List.of(suspicion)));
		}
	}

	private void requestIndirectProbes(ProbeTracker.Probe probe, List<OutgoingMessage> out) {
		Set<NodeId> chosen = new HashSet<>();
		for (int attempt = 0; attempt < 2 * INDIRECT_PROBERS && chosen.size() < INDIRECT_PROBERS; attempt++) {
			MemberEntry peer = this.directory.randomReceiver(this.random);
			if (peer != null && !peer.suspected && !peer.id().equals(probe.target) && chosen.add(peer.id())) {
				out.add(this.composer.pingRequest(peer.member.address(), probe.target, probe.address, probe.sequence));
			}
		}
	}

	private void removeSuspected(long now, Consumer<MemberUpdate> disseminate) {
		if (this.health.isIsolated(now)) {
			return;
		}
		List<MemberEntry> expired = new ArrayList<>();
		for (MemberEntry entry : this.table.suspected()) {
			if (now - entry.suspectedSince >= this.settings.suspicionTimeout().toNanos()) {
				expired.add(entry);
			}
		}
		for (MemberEntry entry : expired) {
			// Each node removes the member by its own timer; one that raised the
			// suspicion also disseminates the removal.
			if (entry.suspectedLocally) {
				disseminate.accept(entry.removal());
			}
			else {
				this.table.apply(entry.removal(), now);
			}
		}
	}

	void received(PeerMessage message, long now, List<OutgoingMessage> out) {
		switch (message.type()) {
			case PING -> pingReceived(message, now, out);
			case PING_REQUEST -> pingRequestReceived(message, now, out);
			case ACKNOWLEDGEMENT -> acknowledgementReceived(message, now, out);
			default -> {
			}
		}
	}

	private void pingReceived(PeerMessage message, long now, List<OutgoingMessage> out) {
		if (message.target().isPresent() && !message.target().get().equals(this.composer.localId())) {
			return;
		}
		out.add(this.composer.acknowledgement(message.sender().address(), message.sequence(),
				updatesToRefute(message, now), now));
	}

	private void pingRequestReceived(PeerMessage message, long now, List<OutgoingMessage> out) {
		if (message.target().isEmpty() || message.targetAddress().isEmpty()) {
			return;
		}
		long expiry = now + this.settings.indirectTimeout().toNanos() * 2;
		long sequence = this.probes.startRelayed(message.sender().address(), message.sequence(), expiry);
		out.add(this.composer.ping(message.targetAddress().get(), message.target(), sequence, List.of(), now));
	}

	private void acknowledgementReceived(PeerMessage message, long now, List<OutgoingMessage> out) {
		ProbeTracker.Relayed relayed = this.probes.relayedAnswered(message.sequence());
		if (relayed != null) {
			out.add(this.composer.acknowledgement(relayed.requester(), relayed.sequence(), List.of(), now));
			return;
		}
		if (this.probes.answered(message.sequence()) != null) {
			this.health.probeAnswered();
		}
		List<MemberUpdate> updatesToRefute = updatesToRefute(message, now);
		if (!updatesToRefute.isEmpty()) {
			out.add(this.composer.gossipTo(message.sender().address(), updatesToRefute));
		}
	}

	// Returns the suspicion or removal of the sender, if the local node knows of one, so
	// that the sender can refute it.
	private List<MemberUpdate> updatesToRefute(PeerMessage message, long now) {
		PeerIdentity sender = message.sender();
		MemberEntry entry = this.table.find(sender.id());
		if (entry != null) {
			boolean suspected = entry.suspected && entry.instance().equals(sender.instance());
			return suspected ? List.of(entry.suspicion(now)) : List.of();
		}
		MemberTable.RemovedMember removed = this.table.findRemoved(sender.id());
		boolean sameInstance = removed != null && removed.update().instance().equals(sender.instance());
		return sameInstance ? List.of(removed.update()) : List.of();
	}

}
