package org.wasabicart.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;

import org.wasabicart.core.mesh.IncarnationRecords;
import org.wasabicart.core.mesh.MemberStatus;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.Placement;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.ServiceName;

/**
 * Backend servers that calls can be sent to: those of other nodes and the local one.
 */
final class Destinations {

	/**
	 * Concurrent calls to other regions above which servers there are used only if the
	 * local region has none that is usable: the link between regions is shared.
	 */
	private static final int MAXIMUM_CALLS_TO_OTHER_REGIONS = 4;

	private final Peers peers;

	private final LocalBackend localBackend;

	private final Placement placement;

	private final IncarnationRecords incarnationRecords;

	private MemberStatus local;

	private int callsToOtherRegions;

	Destinations(Peers peers, LocalBackend localBackend, Placement placement, IncarnationRecords incarnationRecords) {
		this.peers = Objects.requireNonNull(peers, "peers");
		this.localBackend = Objects.requireNonNull(localBackend, "localBackend");
		this.placement = Objects.requireNonNull(placement, "placement");
		this.incarnationRecords = Objects.requireNonNull(incarnationRecords, "incarnationRecords");
	}

	/**
	 * Updates the local server.
	 * @param member server, or null if it is unknown or has left
	 */
	void localMember(MeshMember member) {
		if (member == null) {
			this.local = null;
		}
		else if (this.local == null) {
			this.local = new MemberStatus(member, this.incarnationRecords);
		}
		else {
			this.local.member(member);
		}
	}

	/**
	 * Chooses a server.
	 * @param service service
	 * @param excluded nodes that must not be used again
	 * @param localRegionOnly whether servers of other regions are excluded
	 * @param now current time in nanoseconds
	 * @return the server, or null if none is usable
	 */
	MemberStatus choose(ServiceName service, Predicate<NodeId> excluded, boolean localRegionOnly, long now) {
		List<MemberStatus> candidates = candidates(service, now);
		boolean regionLinkInUse = this.callsToOtherRegions >= MAXIMUM_CALLS_TO_OTHER_REGIONS;
		MemberStatus chosen = this.placement.choose(candidates, excluded, localRegionOnly || regionLinkInUse, now);
		if (chosen == null && regionLinkInUse && !localRegionOnly) {
			return this.placement.choose(candidates, excluded, false, now);
		}
		return chosen;
	}

	private List<MemberStatus> candidates(ServiceName service, long now) {
		List<MemberStatus> others = this.peers.forService(service);
		if (this.local == null || !this.local.member().service().equals(service)) {
			return others;
		}
		this.local.reported(this.localBackend.load(now), now);
		List<MemberStatus> all = new ArrayList<>(others.size() + 1);
		all.add(this.local);
		all.addAll(others);
		return all;
	}

	CallHandle send(MemberStatus chosen, Call call, CallListener listener) {
		if (chosen == this.local) {
			return this.localBackend.handle(call, listener);
		}
		Peer peer = this.peers.get(chosen.member().node());
		return this.placement.isInLocalRegion(chosen) ? peer.send(call, listener)
				: sendToOtherRegion(peer, call, listener);
	}

	private CallHandle sendToOtherRegion(Peer peer, Call call, CallListener listener) {
		this.callsToOtherRegions++;
		CallHandle handle = peer.send(call, (result) -> {
			this.callsToOtherRegions--;
			listener.ended(result);
		});
		return () -> {
			this.callsToOtherRegions--;
			handle.cancel();
		};
	}

}
