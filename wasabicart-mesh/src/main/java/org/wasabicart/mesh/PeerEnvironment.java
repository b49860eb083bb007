package org.wasabicart.mesh;

import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.wasabicart.core.mesh.CallOrigin;
import org.wasabicart.wire.generated.mesh.MeshPing;

/**
 * What all links to other nodes share.
 *
 * @param eventLoop event loop of the links
 * @param ownPing provides this node's state for a ping
 * @param pingListener receives the state of other nodes
 * @param originListener receives who calls which route
 */
record PeerEnvironment(EventLoop eventLoop, Supplier<MeshPing> ownPing, Consumer<MeshPing> pingListener,
		OriginListener originListener) {

	PeerEnvironment {
		Objects.requireNonNull(eventLoop, "eventLoop");
		Objects.requireNonNull(ownPing, "ownPing");
		Objects.requireNonNull(pingListener, "pingListener");
		Objects.requireNonNull(originListener, "originListener");
	}

	/**
	 * Receives who calls a route.
	 */
	@FunctionalInterface
	interface OriginListener {

		/**
		 * A node told who calls a route.
		 * @param route name of the route
		 * @param origin origin of its calls
		 */
		void origin(String route, CallOrigin origin);

	}

}
