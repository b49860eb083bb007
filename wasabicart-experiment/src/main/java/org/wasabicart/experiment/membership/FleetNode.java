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
 * One node of a fleet: a real controller and codec, and what the experiment knows of its
 * process.
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

	private long seenVersion = -1;

	private Set<NodeId> seenIds = new HashSet<>();

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

	boolean sees(NodeId id) {
		return this.seenIds.contains(id);
	}

	/**
	 * Compares the view with that of the last call.
	 * @return members that were removed since
	 */
	Set<NodeId> takeRemovals() {
		if (this.controller.viewVersion() == this.seenVersion) {
			return Set.of();
		}
		this.seenVersion = this.controller.viewVersion();
		Set<NodeId> ids = new HashSet<>();
		for (Member member : this.controller.members()) {
			ids.add(member.id());
		}
		Set<NodeId> removals = this.seenIds;
		this.seenIds = ids;
		removals.removeAll(ids);
		return removals;
	}

}
