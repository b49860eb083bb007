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
 * Joins through contacts, compares views by digests, and looks for removed members that
 * have come back. Each exchange is bounded to a few datagrams.
 */
final class ViewSynchronizer {

	private static final long JOIN_INTERVAL = TimeUnit.SECONDS.toNanos(1);

	private static final long CONTACT_INTERVAL = TimeUnit.SECONDS.toNanos(10);

	private static final long PAGE_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(500);

	/** Differences that gossip is about to remove are not worth an exchange. */
	private static final long SETTLING_TIME = TimeUnit.SECONDS.toNanos(2);

	private static final long MAXIMUM_SETTLING_TIME = TimeUnit.SECONDS.toNanos(4);

	/** With more differing buckets than this, whole pages are cheaper. */
	private static final int MAXIMUM_BUCKETS = 24;

	private static final int BYTES_PER_BUCKET = 5;

	private static final int NODE_ID_BYTES = 66;

	private final MembershipSettings settings;

	private final MemberTable table;

	private final PeerDirectory directory;

	private final MessageComposer composer;

	private final RandomGenerator random;

	private final StateTransfer transfer = new StateTransfer();

	private List<NodeAddress> contacts = List.of();

	private long sequence;

	private long lastChange;

	private long differingSince;

	private boolean differing;

	private long nextDigest;

	private long nextJoin;

	private long nextContact;

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

	void contacts(Collection<NodeAddress> addresses) {
		this.contacts = List.copyOf(addresses);
	}

	void changed(long now) {
		this.lastChange = now;
	}

	void tick(long now, NodeId local, List<OutgoingMessage> out) {
		if (!this.started) {
			this.started = true;
			this.nextJoin = now;
			this.nextDigest = now;
			this.nextContact = now + CONTACT_INTERVAL + this.random.nextLong(CONTACT_INTERVAL);
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
		this.nextJoin = now + JOIN_INTERVAL;
		this.transfer.start(this.contacts.get(this.random.nextInt(this.contacts.size())));
		requestPage(now, out);
	}

	private void requestPage(long now, List<OutgoingMessage> out) {
		this.sequence++;
		this.transfer.sent(this.sequence, now + PAGE_TIMEOUT);
		out.add(this.composer.state(this.transfer.source(), MessageType.STATE_REQUEST, this.sequence,
				this.transfer.cursor(), List.of(this.composer.ownAnnouncement())));
	}

	private void continueTransfer(long now, List<OutgoingMessage> out) {
		if (!this.transfer.isDue(now)) {
			return;
		}
		if (this.transfer.isExhausted()) {
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
		if (now - this.nextContact < 0 || this.contacts.isEmpty()) {
			return;
		}
		this.nextContact = now + CONTACT_INTERVAL;
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
		// After a partition the others have come back as well.
		if (this.table.findRemoved(message.sender().id()) != null) {
			this.nextRemovedProbe = Math.min(this.nextRemovedProbe, now);
		}
		switch (message.type()) {
			case PING, ACKNOWLEDGEMENT -> compare(message, now, out);
			case STATE_REQUEST -> out.add(page(message, now));
			case STATE_PAGE -> pageReceived(message, now, out);
			case DIGEST -> digestReceived(message, now, out);
			case DIGEST_REPLY -> digestReplied(message, now, out);
			default -> {
			}
		}
	}

	private void compare(PeerMessage message, long now, List<OutgoingMessage> out) {
		if (message.digest() == this.table.digest()) {
			this.differing = false;
			return;
		}
		if (!this.differing) {
			this.differing = true;
			this.differingSince = now;
		}
		boolean settled = now - this.lastChange >= SETTLING_TIME || now - this.differingSince >= MAXIMUM_SETTLING_TIME;
		if (!settled || now - this.nextDigest < 0 || this.transfer.isActive()) {
			return;
		}
		this.nextDigest = now + this.settings.digestInterval().toNanos();
		out.add(this.composer.digest(message.sender().address(), MessageType.DIGEST, this.table.bucketDigests(),
				List.of()));
	}

	private OutgoingMessage page(PeerMessage message, long now) {
		Collection<MemberEntry> entries = message.cursor().isEmpty() ? this.table.entries()
				: this.table.entriesAfter(new NodeId(message.cursor()));
		List<MemberUpdate> updates = new ArrayList<>();
		int space = this.composer.space(NODE_ID_BYTES);
		String cursor = "";
		for (MemberEntry entry : entries) {
			space -= sizeOf(entry);
			if (space < 0) {
				cursor = updates.get(updates.size() - 1).id().value();
				break;
			}
			addRecord(entry, now, updates);
		}
		return this.composer.state(message.sender().address(), MessageType.STATE_PAGE, message.sequence(), cursor,
				updates);
	}

	// A receiver that missed the suspicion would keep a crashed member.
	private static void addRecord(MemberEntry entry, long now, List<MemberUpdate> updates) {
		updates.add(entry.announcement());
		if (entry.suspected) {
			updates.add(entry.suspicion(now));
		}
	}

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
		List<Integer> own = this.table.bucketDigests();
		List<Integer> theirs = message.buckets();
		if (theirs.size() != own.size()) {
			return;
		}
		List<Integer> differences = new ArrayList<>();
		for (int bucket = 0; bucket < own.size(); bucket++) {
			if (!own.get(bucket).equals(theirs.get(bucket))) {
				differences.add(bucket);
			}
		}
		List<MemberUpdate> updates = recordsOf(new HashSet<>(differences),
				this.composer.space(differences.size() * BYTES_PER_BUCKET), now);
		out.add(this.composer.digest(message.sender().address(), MessageType.DIGEST_REPLY, differences, updates));
		copyIfMany(differences, message, now, out);
	}

	private void digestReplied(PeerMessage message, long now, List<OutgoingMessage> out) {
		if (message.buckets().isEmpty()) {
			return;
		}
		Set<Integer> differences = new HashSet<>(message.buckets());
		List<MemberUpdate> updates = recordsOf(differences, this.composer.space(0), now);
		out.add(this.composer.gossipTo(message.sender().address(), updates));
		copyIfMany(message.buckets(), message, now, out);
	}

	private void copyIfMany(List<Integer> differences, PeerMessage message, long now, List<OutgoingMessage> out) {
		if (differences.size() > MAXIMUM_BUCKETS && !this.transfer.isActive()) {
			this.transfer.start(message.sender().address());
			requestPage(now, out);
		}
	}

	// Removals go first, since they are small, then records from a random place.
	private List<MemberUpdate> recordsOf(Set<Integer> buckets, int bytes, long now) {
		List<MemberUpdate> candidates = new ArrayList<>();
		for (MemberEntry entry : this.table.entries()) {
			if (buckets.contains(MemberEntry.bucket(entry.position))) {
				addRecord(entry, now, candidates);
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
