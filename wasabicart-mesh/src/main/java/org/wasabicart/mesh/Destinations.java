package org.wasabicart.mesh;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpResponseStatus;

import org.wasabicart.core.capacity.CallExpectations;
import org.wasabicart.core.capacity.ServiceTimes;
import org.wasabicart.core.mesh.IncarnationRecords;
import org.wasabicart.core.mesh.MemberStatus;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.ServerChoice;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.mesh.capacity.ServerCapacityMode;

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

	private final ServerChoice placement;

	private final IncarnationRecords incarnationRecords;

	private final CallExpectations expectations = new CallExpectations();

	private final boolean learned;

	private MemberStatus local;

	private int callsToOtherRegions;

	Destinations(Peers peers, LocalBackend localBackend, ServerChoice placement, IncarnationRecords incarnationRecords,
			ServerCapacityMode mode) {
		this.learned = mode == ServerCapacityMode.LEARNED;
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
	 * @param targetTime time in nanoseconds within which the caller wants the answer, or
	 * {@link Long#MAX_VALUE} if it has stated none
	 * @param now current time in nanoseconds
	 * @return the server, or null if none is usable
	 */
	MemberStatus choose(ServiceName service, Predicate<NodeId> excluded, boolean localRegionOnly, long targetTime,
			long now) {
		List<MemberStatus> candidates = candidates(service, now);
		boolean regionLinkInUse = this.callsToOtherRegions >= MAXIMUM_CALLS_TO_OTHER_REGIONS;
		MemberStatus chosen = this.placement.choose(candidates, excluded, localRegionOnly || regionLinkInUse,
				targetTime, now);
		if (chosen == null && regionLinkInUse && !localRegionOnly) {
			return this.placement.choose(candidates, excluded, false, targetTime, now);
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

	/**
	 * Returns whether a call has run for far longer than expected, so that another server
	 * would probably have answered. Only known if the capacity of servers is learned.
	 * @param member server that runs the call
	 * @param route name of the route
	 * @param elapsed time since the call was sent in nanoseconds
	 * @param now current time in nanoseconds
	 * @return whether it is far beyond what is expected
	 */
	boolean farBeyondExpected(MemberStatus member, String route, long elapsed, long now) {
		return this.learned && this.expectations.farBeyondExpected(member, route, elapsed,
				typicalTime(member.member().service(), now));
	}

	/**
	 * Returns the expected time of a call at a typical server of a service.
	 * @param service service
	 * @param now current time in nanoseconds
	 * @return the time in nanoseconds, 0 if it is not known
	 */
	double typicalTime(ServiceName service, long now) {
		return ServiceTimes.typical(candidates(service, now), now);
	}

	/**
	 * Removes what is known about routes that are no longer configured.
	 * @param routes names of the configured routes
	 */
	void retain(Collection<String> routes) {
		this.expectations.retain(routes);
	}

	CallHandle send(MemberStatus chosen, Call call, CallListener listener) {
		if (!this.learned) {
			return sendTo(chosen, call, listener);
		}
		long start = System.nanoTime();
		return sendTo(chosen, call, (result) -> {
			if (result instanceof CallResult.Answered answered
					&& answered.status() < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
				this.expectations.record(call.route(), System.nanoTime() - start);
			}
			listener.ended(result);
		});
	}

	private CallHandle sendTo(MemberStatus chosen, Call call, CallListener listener) {
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
