package org.wasabicart.core.allotment;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.apache.commons.codec.digest.MurmurHash3;

import org.wasabicart.core.model.NodeId;

/**
 * Chooses the coordinator of the fleet by rendezvous hashing. Nodes with equal views
 * choose the same one, and the loss of another node changes nothing.
 */
public final class CoordinatorChoice {

	private CoordinatorChoice() {
	}

	/**
	 * Chooses the coordinator.
	 * @param candidates nodes that can be reached
	 * @return the node with the highest hash, or empty if there is none
	 */
	public static Optional<NodeId> choose(Collection<NodeId> candidates) {
		return candidates.stream()
			.max(Comparator.comparingLong(CoordinatorChoice::weight).thenComparing(Comparator.naturalOrder()));
	}

	/**
	 * Returns the weight of a node; the node with the highest weight is chosen.
	 * @param node node
	 * @return the weight
	 */
	public static long weight(NodeId node) {
		return MurmurHash3.hash128x64(("allotment/" + node.value()).getBytes(StandardCharsets.UTF_8))[0];
	}

}
