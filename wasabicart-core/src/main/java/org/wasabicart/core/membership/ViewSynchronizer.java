package org.wasabicart.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;

/**
 * Joins through contacts, compares views with peers by digests, and probes removed
 * members in case they have come back. Each exchange is limited to a few datagrams.
 */
final class ViewSynchronizer {

	private static final long JOIN_INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private static final long CONTACT_PROBE_INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

	private static final long PAGE_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Time without changes before digests are compared. Gossip resolves most differences
	 * by then.
	 */
	private static final long SETTLING_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

	/** Duration of a difference after which digests are compared even during changes. */
	private static final long MAXIMUM_SETTLING_NANOSECONDS = TimeUnit.SECONDS.toNanos(4);

	/** With more differing buckets than this, a transfer of all records is cheaper. */
	private static final int MAXIMUM_DIFFERING_BUCKETS = 24;

	private static final int BYTES_PER_BUCKET = 5;

	/** Longest cursor, with its tag and length. */
	private static final int MAXIMUM_CURSOR_BYTES = 66;

	private final MembershipSettings settings;

	private final MemberTable table;

	private final PeerDirectory directory;

	private final MessageComposer composer;

	private final RandomGenerator random;

	private final StateTransfer transfer = new StateTransfer();

	private List<NodeAddress> contacts = List.of();

	private long sequence;

	private long lastChange;

	private long viewsDifferSince;

	private boolean viewsDiffer;

	private long nextDigest;

	private long nextJoin;

	private long nextContactProbe;

	private long nextRemovedProbe;

	private boolean started;

	ViewSynchronizer(MembershipSettings settings, MemberTable table, PeerDirectory directory, MessageComposer composer,
			RandomGenerator random) {
		this.settings = settings;
		this.table = table;
		this.directory = directory;
		this.composer = composer;
		this.random = random;
	}

	void setContacts(Collection<NodeAddress> addresses) {
		this.contacts = List.copyOf(addresses);
	}

	void viewChanged(long now) {
		this.lastChange = now;
	}

	void tick(long now, NodeId local, List<OutgoingMessage> out) {
		if (!this.started) {
			this.started = true;
			this.nextJoin = now;
			this.nextDigest = now;
			this.nextContactProbe = now + CONTACT_PROBE_INTERVAL_NANOSECONDS
					+ this.random.nextLong(CONTACT_PROBE_INTERVAL_NANOSECONDS);
			this.nextRemovedProbe = now + this.random.nextLong(this.settings.removedProbeInterval().toNanos());
		}
		this.table.forgetRemovedBefore(now - this.settings.removedRetention().toNanos());
		join(now, out);
		continueTransfer(now, out);
		probeContact(now, out);
		probeRemoved(now, out);
	}

	private void join(long now, List<OutgoingMessage> out) {
		if (this.table.size() > 1 || this.contacts.isEmpty() || this.transfer.isActive() || now - this.nextJoin < 0) {
			return;
		}
		this.nextJoin = now + JOIN_INTERVAL_NANOSECONDS;
		this.transfer.start(this.contacts.get(this.random.nextInt(this.contacts.size())));
		requestPage(now, out);
	}

	private void requestPage(long now, List<OutgoingMessage> out) {
		this.sequence++;
		this.transfer.requestSent(this.sequence, now + PAGE_TIMEOUT_NANOSECONDS);
		out.add(this.composer.state(this.transfer.source(), MessageType.STATE_REQUEST, this.sequence,
				this.transfer.cursor(), List.of(this.composer.ownAnnouncement())));
	}

	private void continueTransfer(long now, List<OutgoingMessage> out) {
		if (!this.transfer.isTimedOut(now)) {
			return;
		}
		if (this.transfer.hasNoAttemptsLeft()) {
			this.transfer.stop();
			MemberEntry other = this.directory.randomNearest(this.random);
			if (other == null) {
				return;
			}
			this.transfer.start(other.member.address());
		}
		requestPage(now, out);
	}

	private void probeContact(long now, List<OutgoingMessage> out) {
		if (now - this.nextContactProbe < 0 || this.contacts.isEmpty()) {
			return;
		}
		this.nextContactProbe = now + CONTACT_PROBE_INTERVAL_NANOSECONDS;
		NodeAddress contact = this.contacts.get(this.random.nextInt(this.contacts.size()));
		for (MemberEntry entry : this.table.entries()) {
			if (entry.member.address().equals(contact)) {
				return;
			}
		}
		out.add(this.composer.ping(contact, Optional.empty(), 0, List.of(this.composer.ownAnnouncement()), now));
	}

	private void probeRemoved(long now, List<OutgoingMessage> out) {
		if (now - this.nextRemovedProbe < 0 || this.table.removedCount() == 0) {
			return;
		}
		this.nextRemovedProbe = now + this.settings.removedProbeInterval().toNanos();
		List<MemberTable.RemovedMember> removed = this.table.removed();
		MemberTable.RemovedMember chosen = removed.get(this.random.nextInt(removed.size()));
		out.add(this.composer.ping(chosen.member().address(), Optional.of(chosen.member().id()), 0,
				List.of(chosen.update(), this.composer.ownAnnouncement()), now));
	}

	void received(PeerMessage message, long now, List<OutgoingMessage> out) {
		// After a partition, other removed members are likely to be back as well.
		if (this.table.findRemoved(message.sender().id()) != null) {
			this.nextRemovedProbe = Math.min(this.nextRemovedProbe, now);
		}
		switch (message.type()) {
			case PING, ACKNOWLEDGEMENT -> compareDigests(message, now, out);
			case STATE_REQUEST -> out.add(composePage(message, now));
			case STATE_PAGE -> pageReceived(message, now, out);
			case DIGEST -> digestReceived(message, now, out);
			case DIGEST_REPLY -> digestReplyReceived(message, now, out);
			default -> {
			}
		}
	}

	private void compareDigests(PeerMessage message, long now, List<OutgoingMessage> out) {
		if (message.digest() == this.table.digest()) {
			this.viewsDiffer = false;
			return;
		}
		if (!this.viewsDiffer) {
			this.viewsDiffer = true;
			this.viewsDifferSince = now;
		}
		boolean settled = now - this.lastChange >= SETTLING_NANOSECONDS
				|| now - this.viewsDifferSince >= MAXIMUM_SETTLING_NANOSECONDS;
		if (!settled || now - this.nextDigest < 0 || this.transfer.isActive()) {
			return;
		}
		this.nextDigest = now + this.settings.digestInterval().toNanos();
		out.add(this.composer.digest(message.sender().address(), MessageType.DIGEST, this.table.bucketDigests(),
				List.of()));
	}

	private OutgoingMessage composePage(PeerMessage message, long now) {
		Collection<MemberEntry> entries = message.cursor().isEmpty() ? this.table.entries()
				: this.table.entriesAfter(new NodeId(message.cursor()));
		List<MemberUpdate> updates = new ArrayList<>();
		int space = this.composer.spaceForUpdates(MAXIMUM_CURSOR_BYTES);
		String cursor = "";
		for (MemberEntry entry : entries) {
			space -= sizeOf(entry);
			if (space < 0) {
				cursor = updates.get(updates.size() - 1).id().value();
				break;
			}
			addUpdates(entry, now, updates);
		}
		return this.composer.state(message.sender().address(), MessageType.STATE_PAGE, message.sequence(), cursor,
				updates);
	}

	// Includes a suspicion: a receiver that missed it would keep a crashed member.
	private static void addUpdates(MemberEntry entry, long now, List<MemberUpdate> updates) {
		updates.add(entry.announcement());
		if (entry.suspected) {
			updates.add(entry.suspicion(now));
		}
	}

	// UpdateSize is the same for a suspicion and a removal.
	private static int sizeOf(MemberEntry entry) {
		return UpdateSize.of(entry.announcement()) + (entry.suspected ? UpdateSize.of(entry.removal()) : 0);
	}

	private void pageReceived(PeerMessage message, long now, List<OutgoingMessage> out) {
		if (!this.transfer.expects(message.sequence())) {
			return;
		}
		this.transfer.advance(message.cursor());
		if (this.transfer.isActive()) {
			requestPage(now, out);
		}
	}

	private void digestReceived(PeerMessage message, long now, List<OutgoingMessage> out) {
		List<Integer> ownDigests = this.table.bucketDigests();
		List<Integer> senderDigests = message.buckets();
		if (senderDigests.size() != ownDigests.size()) {
			return;
		}
		List<Integer> differences = new ArrayList<>();
		for (int bucket = 0; bucket < ownDigests.size(); bucket++) {
			if (!ownDigests.get(bucket).equals(senderDigests.get(bucket))) {
				differences.add(bucket);
			}
		}
		List<MemberUpdate> updates = updatesInBuckets(new HashSet<>(differences),
				this.composer.spaceForUpdates(differences.size() * BYTES_PER_BUCKET), now);
		out.add(this.composer.digest(message.sender().address(), MessageType.DIGEST_REPLY, differences, updates));
		startTransferIfManyDiffer(differences, message, now, out);
	}

	private void digestReplyReceived(PeerMessage message, long now, List<OutgoingMessage> out) {
		if (message.buckets().isEmpty()) {
			return;
		}
		Set<Integer> differences = new HashSet<>(message.buckets());
		List<MemberUpdate> updates = updatesInBuckets(differences, this.composer.spaceForUpdates(0), now);
		out.add(this.composer.gossipTo(message.sender().address(), updates));
		startTransferIfManyDiffer(message.buckets(), message, now, out);
	}

	private void startTransferIfManyDiffer(List<Integer> differences, PeerMessage message, long now,
			List<OutgoingMessage> out) {
		if (differences.size() > MAXIMUM_DIFFERING_BUCKETS && !this.transfer.isActive()) {
			this.transfer.start(message.sender().address());
			requestPage(now, out);
		}
	}

	// Removals come first, since they are small, then the records from a random position.
	private List<MemberUpdate> updatesInBuckets(Set<Integer> buckets, int bytes, long now) {
		List<MemberUpdate> candidates = new ArrayList<>();
		for (MemberEntry entry : this.table.entries()) {
			if (buckets.contains(MemberEntry.bucket(entry.position))) {
				addUpdates(entry, now, candidates);
			}
		}
		if (!candidates.isEmpty()) {
			Collections.rotate(candidates, this.random.nextInt(candidates.size()));
		}
		List<MemberUpdate> updates = new ArrayList<>();
		for (MemberTable.RemovedMember removed : this.table.removed()) {
			if (buckets.contains(MemberEntry.bucket(MemberEntry.position(removed.update().id())))) {
				updates.add(removed.update());
			}
		}
		updates.addAll(candidates);
		int space = bytes;
		int count = 0;
		while (count < updates.size() && space >= UpdateSize.of(updates.get(count))) {
			space -= UpdateSize.of(updates.get(count));
			count++;
		}
		return updates.subList(0, count);
	}

}
