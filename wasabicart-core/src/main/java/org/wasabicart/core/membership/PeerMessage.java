package org.wasabicart.core.membership;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;

/**
 * One message between two nodes. It fits in a datagram of
 * {@link MembershipSettings#MAXIMUM_DATAGRAM_BYTES}.
 *
 * @param type purpose
 * @param sender sender
 * @param sequence number that relates an acknowledgement to its ping or ping request, and
 * a state page to its state request
 * @param target node that is probed, for {@link MessageType#PING} and
 * {@link MessageType#PING_REQUEST}
 * @param targetAddress address of the target, for {@link MessageType#PING_REQUEST}
 * @param digest digest of the sender's whole view
 * @param buckets all bucket digests, for {@link MessageType#DIGEST}; or the numbers of
 * the differing buckets, for {@link MessageType#DIGEST_REPLY}
 * @param cursor node id after which the page begins, for
 * {@link MessageType#STATE_REQUEST}; or after which the next page begins, for
 * {@link MessageType#STATE_PAGE}, empty on the last page
 * @param updates changes of members
 */
public record PeerMessage(MessageType type, PeerIdentity sender, long sequence, Optional<NodeId> target,
		Optional<NodeAddress> targetAddress, long digest, List<Integer> buckets, String cursor,
		List<MemberUpdate> updates) {

	public PeerMessage {
		Objects.requireNonNull(type, "type");
		Objects.requireNonNull(sender, "sender");
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(targetAddress, "targetAddress");
		Objects.requireNonNull(cursor, "cursor");
		buckets = List.copyOf(buckets);
		updates = List.copyOf(updates);
	}

}
