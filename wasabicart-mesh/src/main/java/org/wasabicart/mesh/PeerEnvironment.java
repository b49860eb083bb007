package org.wasabicart.mesh;

import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.wasabicart.wire.generated.mesh.MeshPing;

/**
 * What all links to other nodes share.
 *
 * @param eventLoop event loop of the links
 * @param ownPing provides this node's state for a ping
 * @param pingListener receives the state of other nodes
 * @param nestedListener receives which routes are called by servers
 */
record PeerEnvironment(EventLoop eventLoop, Supplier<MeshPing> ownPing, Consumer<MeshPing> pingListener,
		NestedListener nestedListener) {

	PeerEnvironment {
		Objects.requireNonNull(eventLoop, "eventLoop");
		Objects.requireNonNull(ownPing, "ownPing");
		Objects.requireNonNull(pingListener, "pingListener");
		Objects.requireNonNull(nestedListener, "nestedListener");
	}

	/**
	 * Receives whether a route is called by servers.
	 */
	@FunctionalInterface
	interface NestedListener {

		/**
		 * A node told whether a route is called by servers.
		 * @param route name of the route
		 * @param nested whether it is
		 */
		void nested(String route, boolean nested);

	}

}
