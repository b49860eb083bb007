package org.wasabicart.mesh;

import com.google.protobuf.InvalidProtocolBufferException;

import org.wasabicart.core.mesh.BackendIncarnation;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.ServerState;
import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.wire.generated.mesh.MeshMemberEntry;

/**
 * Converts between backend servers and their entries in the store.
 */
final class MemberEntries {

	private MemberEntries() {
	}

	static MeshMemberEntry toEntry(MeshMember member) {
		return MeshMemberEntry.newBuilder()
			.setNode(member.node().value())
			.setHost(member.address().host())
			.setPort(member.address().port())
			.setFailureDomain(member.failureDomain().value())
			.setRegion(member.region().value())
			.setService(member.service().value())
			.setInstance(member.instance())
			.setBorn(member.incarnation().born())
			.setSlots(member.slots())
			.setDraining(member.state() != ServerState.READY)
			.setLeaving(member.state() == ServerState.LEAVING)
			.build();
	}

	/**
	 * Converts an entry to the server that it describes.
	 * @param entry entry
	 * @return the server
	 * @throws IllegalArgumentException if a field is not valid
	 */
	static MeshMember toMember(MeshMemberEntry entry) {
		return new MeshMember(new NodeId(entry.getNode()), new NodeAddress(entry.getHost(), entry.getPort()),
				new FailureDomain(entry.getFailureDomain()), new RegionName(entry.getRegion()),
				new ServiceName(entry.getService()), new BackendIncarnation(entry.getInstance(), entry.getBorn()),
				entry.getSlots(), state(entry));
	}

	private static ServerState state(MeshMemberEntry entry) {
		if (entry.getLeaving()) {
			return ServerState.LEAVING;
		}
		return entry.getDraining() ? ServerState.DRAINING : ServerState.READY;
	}

	/**
	 * Converts the value of an entry to the server that it describes.
	 * @param name name of the node in the key of the entry
	 * @param value value
	 * @return the server
	 * @throws InvalidProtocolBufferException if the value is not an entry
	 * @throws IllegalArgumentException if a field is not valid
	 */
	static MeshMember toMember(String name, byte[] value) throws InvalidProtocolBufferException {
		MeshMember member = toMember(MeshMemberEntry.parseFrom(value));
		if (!member.node().value().equals(name)) {
			throw new IllegalArgumentException("Entry of another node: " + member.node());
		}
		return member;
	}

}
