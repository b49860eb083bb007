package org.wasabicart.mesh;

import java.util.Objects;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.wasabicart.core.mesh.CallOrigin;
import org.wasabicart.core.mesh.IncarnationRecords;
import org.wasabicart.core.overload.OverloadSignals;
import org.wasabicart.mesh.allotment.FleetLink;
import org.wasabicart.wire.generated.mesh.MeshAllotmentGrant;
import org.wasabicart.wire.generated.mesh.MeshPing;

/**
 * Objects that all links to other nodes share.
 *
 * @param eventLoop event loop of the links
 * @param ownPing provides a ping with the state of this node
 * @param pingListener receives the pings of other nodes
 * @param originListener receives the reported origins of calls
 * @param incarnationRecords what is known about the incarnations of servers
 * @param memory account of the bytes that the node holds
 * @param signals receives the shortages that other nodes report
 * @param grantListener receives grants of other nodes
 */
record PeerEnvironment(EventLoop eventLoop, Supplier<MeshPing> ownPing, PingListener pingListener,
		OriginListener originListener, IncarnationRecords incarnationRecords, HeldMemory memory,
		OverloadSignals signals, GrantListener grantListener) {

	PeerEnvironment {
		Objects.requireNonNull(eventLoop, "eventLoop");
		Objects.requireNonNull(ownPing, "ownPing");
		Objects.requireNonNull(pingListener, "pingListener");
		Objects.requireNonNull(originListener, "originListener");
		Objects.requireNonNull(incarnationRecords, "incarnationRecords");
		Objects.requireNonNull(memory, "memory");
		Objects.requireNonNull(signals, "signals");
		Objects.requireNonNull(grantListener, "grantListener");
	}

	/**
	 * Receives pings.
	 */
	@FunctionalInterface
	interface PingListener {

		/**
		 * A node has sent a ping or acknowledged one.
		 * @param ping ping with the state of the node
		 * @param source reads the configuration of the node
		 */
		void pingReceived(MeshPing ping, ConfigurationSource source);

	}

	/**
	 * Receives the origin of the calls of a route.
	 */
	@FunctionalInterface
	interface OriginListener {

		/**
		 * A node has reported the origin of the calls of a route.
		 * @param route name of the route
		 * @param origin kind of caller that sends the calls
		 */
		void origin(String route, CallOrigin origin);

	}

	/**
	 * Receives grants of allotments.
	 */
	@FunctionalInterface
	interface GrantListener {

		/**
		 * A node has answered a report on allotments or sent a notice.
		 * @param link link to the node
		 * @param grant grant
		 */
		void granted(FleetLink link, MeshAllotmentGrant grant);

	}

}
