package org.wasabicart.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;

/**
 * Builds the messages of the local node, each small enough for a datagram.
 */
final class MessageComposer {

	/** Tags, lengths and numbers of all fields of a message, and its authentication. */
	private static final int OVERHEAD_BYTES = 96;

	/**
	 * Space for updates on pings and acknowledgements, which stay small during bursts.
	 */
	private static final int PIGGYBACK_BYTES = 300;

	private final MemberTable table;

	private final GossipQueue queue;

	private PeerIdentity sender;

	private Member member;

	MessageComposer(MemberTable table, GossipQueue queue) {
		this.table = table;
		this.queue = queue;
	}

	void setLocal(Member local) {
		this.member = local;
		this.sender = new PeerIdentity(local.id(), local.instance(), local.address(), local.revision());
	}

	/**
	 * Returns the space for updates in a message.
	 * @param otherBytes size of other optional fields
	 * @return bytes
	 */
	int spaceForUpdates(int otherBytes) {
		return MembershipSettings.MAXIMUM_DATAGRAM_BYTES - OVERHEAD_BYTES - otherBytes
				- this.sender.id().value().length() - this.sender.address().host().length();
	}

	/**
	 * Returns the announcement of the local node, for receivers that may not know it.
	 * @return update
	 */
	MemberUpdate ownAnnouncement() {
		return this.table.find(this.member.id()).announcement();
	}

	NodeId localId() {
		return this.member.id();
	}

	OutgoingMessage ping(NodeAddress destination, Optional<NodeId> target, long sequence,
			List<MemberUpdate> firstUpdates, long now) {
		return message(destination, MessageType.PING, sequence, target, Optional.empty(), piggyback(firstUpdates, now));
	}

	OutgoingMessage pingRequest(NodeAddress destination, NodeId target, NodeAddress targetAddress, long sequence) {
		return message(destination, MessageType.PING_REQUEST, sequence, Optional.of(target), Optional.of(targetAddress),
				List.of());
	}

	OutgoingMessage acknowledgement(NodeAddress destination, long sequence, List<MemberUpdate> firstUpdates, long now) {
		return message(destination, MessageType.ACKNOWLEDGEMENT, sequence, Optional.empty(), Optional.empty(),
				piggyback(firstUpdates, now));
	}

	OutgoingMessage gossipTo(NodeAddress destination, List<MemberUpdate> updates) {
		return message(destination, MessageType.GOSSIP, 0, Optional.empty(), Optional.empty(), updates);
	}

	OutgoingMessage state(NodeAddress destination, MessageType type, long sequence, String cursor,
			List<MemberUpdate> updates) {
		return new OutgoingMessage(destination, new PeerMessage(type, this.sender, sequence, Optional.empty(),
				Optional.empty(), this.table.digest(), List.of(), cursor, updates));
	}

	OutgoingMessage digest(NodeAddress destination, MessageType type, List<Integer> buckets,
			List<MemberUpdate> updates) {
		return new OutgoingMessage(destination, new PeerMessage(type, this.sender, 0, Optional.empty(),
				Optional.empty(), this.table.digest(), buckets, "", updates));
	}

	private OutgoingMessage message(NodeAddress destination, MessageType type, long sequence, Optional<NodeId> target,
			Optional<NodeAddress> targetAddress, List<MemberUpdate> updates) {
		return new OutgoingMessage(destination, new PeerMessage(type, this.sender, sequence, target, targetAddress,
				this.table.digest(), List.of(), "", updates));
	}

	private List<MemberUpdate> piggyback(List<MemberUpdate> firstUpdates, long now) {
		if (this.queue.isEmpty()) {
			return firstUpdates;
		}
		List<MemberUpdate> updates = new ArrayList<>(firstUpdates);
		updates.addAll(this.queue.take(PIGGYBACK_BYTES, 1, now));
		return updates;
	}

}
