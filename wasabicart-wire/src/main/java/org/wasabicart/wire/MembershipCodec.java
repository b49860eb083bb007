package org.wasabicart.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;

import org.wasabicart.core.membership.MemberUpdate;
import org.wasabicart.core.membership.MessageType;
import org.wasabicart.core.membership.PeerIdentity;
import org.wasabicart.core.membership.PeerMessage;
import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.Revision;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.wire.generated.membership.Announcement;
import org.wasabicart.wire.generated.membership.MembershipMessage;
import org.wasabicart.wire.generated.membership.State;
import org.wasabicart.wire.generated.membership.Type;
import org.wasabicart.wire.generated.membership.Update;

/**
 * Encodes membership messages as datagrams, which are authenticated with the shared key
 * of the deployment. This class is not thread-safe.
 */
public final class MembershipCodec {

	private final DatagramAuthentication authentication;

	/**
	 * Creates a codec.
	 * @param sharedKey shared key of the deployment; without one, datagrams are not
	 * authenticated
	 */
	public MembershipCodec(Optional<byte[]> sharedKey) {
		this.authentication = new DatagramAuthentication(sharedKey);
	}

	/**
	 * Encodes a message.
	 * @param message message
	 * @return datagram
	 */
	public byte[] encode(PeerMessage message) {
		MembershipMessage.Builder builder = MembershipMessage.newBuilder()
			.setSenderId(message.sender().id().value())
			.setSenderInstance(message.sender().instance().value())
			.setSenderHost(message.sender().address().host())
			.setSenderPort(message.sender().address().port())
			.setRevision(message.sender().revision().value())
			.setType(Type.forNumber(message.type().ordinal() + 1))
			.setSequence(message.sequence())
			.setDigest(message.digest())
			.setCursor(message.cursor());
		message.target().ifPresent((target) -> builder.setTargetId(target.value()));
		message.targetAddress()
			.ifPresent((address) -> builder.setTargetHost(address.host()).setTargetPort(address.port()));
		if (message.type() == MessageType.DIGEST) {
			builder.addAllBucketDigests(message.buckets());
		}
		else {
			builder.addAllBucketNumbers(message.buckets());
		}
		for (MemberUpdate update : message.updates()) {
			builder.addUpdates(encodeUpdate(update));
		}
		return this.authentication.sign(builder.build().toByteArray());
	}

	/**
	 * Decodes a datagram.
	 * @param datagram datagram
	 * @return message, or empty if it is malformed or not authentic
	 */
	public Optional<PeerMessage> decode(byte[] datagram) {
		if (!this.authentication.isAuthentic(datagram)) {
			return Optional.empty();
		}
		try {
			return decode(MembershipMessage.parseFrom(datagram));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static Optional<PeerMessage> decode(MembershipMessage message) {
		int type = message.getTypeValue();
		if (type < 1 || type > MessageType.values().length) {
			return Optional.empty();
		}
		PeerIdentity sender = new PeerIdentity(new NodeId(message.getSenderId()),
				new InstanceNumber(message.getSenderInstance()),
				new NodeAddress(message.getSenderHost(), message.getSenderPort()), new Revision(message.getRevision()));
		List<MemberUpdate> updates = new ArrayList<>(message.getUpdatesCount());
		for (Update update : message.getUpdatesList()) {
			decodeUpdate(update).ifPresent(updates::add);
		}
		Optional<NodeId> target = message.getTargetId().isEmpty() ? Optional.empty()
				: Optional.of(new NodeId(message.getTargetId()));
		Optional<NodeAddress> address = message.getTargetHost().isEmpty() ? Optional.empty()
				: Optional.of(new NodeAddress(message.getTargetHost(), message.getTargetPort()));
		List<Integer> buckets = (message.getType() == Type.DIGEST) ? message.getBucketDigestsList()
				: message.getBucketNumbersList();
		return Optional.of(new PeerMessage(MessageType.values()[type - 1], sender, message.getSequence(), target,
				address, message.getDigest(), buckets, message.getCursor(), updates));
	}

	private static Update encodeUpdate(MemberUpdate update) {
		Update.Builder builder = Update.newBuilder()
			.setId(update.id().value())
			.setInstance(update.instance().value())
			.setIncarnation(update.incarnation());
		if (update instanceof MemberUpdate.Announced announced) {
			builder.setAnnounced(encodeMember(announced.member()));
		}
		else if (update instanceof MemberUpdate.Suspected suspected) {
			builder.setSuspectedMilliseconds(suspected.ageMilliseconds());
		}
		else {
			builder.setRemoved(true);
		}
		return builder.build();
	}

	private static Announcement encodeMember(Member member) {
		return Announcement.newBuilder()
			.setService(member.service().value())
			.setFailureDomain(member.failureDomain().value())
			.setRegion(member.region().value())
			.setHost(member.address().host())
			.setPort(member.address().port())
			.setState(State.forNumber(member.state().ordinal() + 1))
			.setSlots(member.slots())
			.setRevision(member.revision().value())
			.build();
	}

	private static Optional<MemberUpdate> decodeUpdate(Update update) {
		NodeId id = new NodeId(update.getId());
		InstanceNumber instance = new InstanceNumber(update.getInstance());
		return switch (update.getContentCase()) {
			case ANNOUNCED -> Optional.of(new MemberUpdate.Announced(decodeMember(id, instance, update.getAnnounced()),
					update.getIncarnation()));
			case SUSPECTED_MILLISECONDS -> Optional.of(new MemberUpdate.Suspected(id, instance, update.getIncarnation(),
					update.getSuspectedMilliseconds()));
			case REMOVED -> Optional.of(new MemberUpdate.Removed(id, instance, update.getIncarnation()));
			case CONTENT_NOT_SET -> Optional.empty();
		};
	}

	private static Member decodeMember(NodeId id, InstanceNumber instance, Announcement announcement) {
		return new Member(id, instance, new ServiceName(announcement.getService()),
				new FailureDomain(announcement.getFailureDomain()), new RegionName(announcement.getRegion()),
				new NodeAddress(announcement.getHost(), announcement.getPort()), decodeState(announcement.getState()),
				announcement.getSlots(), new Revision(announcement.getRevision()));
	}

	// Maps an unknown state, sent by a newer version, to one that accepts no calls.
	private static MemberState decodeState(State state) {
		return switch (state) {
			case SERVING -> MemberState.SERVING;
			case DRAINING -> MemberState.DRAINING;
			default -> MemberState.STARTING;
		};
	}

}
