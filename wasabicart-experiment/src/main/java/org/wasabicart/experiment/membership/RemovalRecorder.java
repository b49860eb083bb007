package org.wasabicart.experiment.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.wasabicart.core.model.NodeId;

/**
 * Times the removals of crashed members and counts false removals.
 */
final class RemovalRecorder {

	private final Map<NodeId, Crash> crashes = new HashMap<>();

	private final Set<NodeId> ignored = new HashSet<>();

	private long falseRemovals;

	void recordCrash(NodeId id, long time) {
		this.crashes.put(id, new Crash(time));
	}

	// From now on, a removal of the member counts as false.
	void recordRestart(NodeId id) {
		this.crashes.remove(id);
	}

	// Removals of a member that left or is partitioned are neither timed nor counted as
	// false.
	void ignoreRemovals(NodeId id) {
		this.ignored.add(id);
	}

	void stopIgnoringRemovals(NodeId id) {
		this.ignored.remove(id);
	}

	void recordRemoval(FleetNode observer, NodeId id, long time) {
		Crash crash = this.crashes.get(id);
		if (crash != null) {
			crash.observers++;
			crash.lastRemoval = time;
		}
		else if (!this.ignored.contains(id)) {
			this.falseRemovals++;
		}
	}

	int observersOf(NodeId id) {
		return this.crashes.get(id).observers;
	}

	long lastRemovalDelayNanoseconds(NodeId id) {
		Crash crash = this.crashes.get(id);
		return crash.lastRemoval - crash.time;
	}

	long falseRemovals() {
		return this.falseRemovals;
	}

	private static final class Crash {

		private final long time;

		private int observers;

		private long lastRemoval;

		private Crash(long time) {
			this.time = time;
		}

	}

}
