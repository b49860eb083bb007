package org.wasabicart.experiment.membership;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;

import org.wasabicart.core.membership.MembershipController;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.wire.MembershipCodec;

/**
 * Node of a fleet: a real controller and codec, and the simulated state of its process.
 */
final class FleetNode {

	final int index;

	final Member local;

	final MembershipController controller;

	final MembershipCodec codec;

	final Queue<byte[]> socketBuffer = new ArrayDeque<>();

	FleetExtension extension = FleetExtension.NONE;

	final long startedAt;

	boolean running = true;

	boolean paused;

	private long lastViewVersion = -1;

	private Set<NodeId> lastViewIds = new HashSet<>();

	FleetNode(int index, Member local, MembershipController controller, MembershipCodec codec, long startedAt) {
		this.startedAt = startedAt;
		this.index = index;
		this.local = local;
		this.controller = controller;
		this.codec = codec;
	}

	NodeId id() {
		return this.local.id();
	}

	boolean hasInView(NodeId id) {
		return this.lastViewIds.contains(id);
	}

	/**
	 * Returns the members that were removed from the view since the last call.
	 * @return ids of the removed members
	 */
	Set<NodeId> pollRemovals() {
		if (this.controller.viewVersion() == this.lastViewVersion) {
			return Set.of();
		}
		this.lastViewVersion = this.controller.viewVersion();
		Set<NodeId> ids = new HashSet<>();
		for (Member member : this.controller.members()) {
			ids.add(member.id());
		}
		Set<NodeId> removals = this.lastViewIds;
		this.lastViewIds = ids;
		removals.removeAll(ids);
		return removals;
	}

}
