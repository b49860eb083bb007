package org.wasabicart.experiment.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.wasabicart.core.model.NodeId;

/**
 * Records which removals followed a crash, and which were false.
 */
final class RemovalRecorder {

	private final Map<NodeId, Crash> crashes = new HashMap<>();

	private final Set<NodeId> ignored = new HashSet<>();

	private long falseRemovals;

	void crashed(NodeId id, long time) {
		this.crashes.put(id, new Crash(time));
	}

	// A member that runs again is expected to stay.
	void restarted(NodeId id) {
		this.crashes.remove(id);
	}

	// Removals of a member that left or is cut off are neither counted nor timed.
	void ignore(NodeId id) {
		this.ignored.add(id);
	}

	void expectAgain(NodeId id) {
		this.ignored.remove(id);
	}

	void removed(FleetNode observer, NodeId id, long time) {
		Crash crash = this.crashes.get(id);
		if (crash != null) {
			crash.observers++;
			crash.last = time;
		}
		else if (!this.ignored.contains(id)) {
			this.falseRemovals++;
		}
	}

	int observersOf(NodeId id) {
		return this.crashes.get(id).observers;
	}

	long spreadNanoseconds(NodeId id) {
		Crash crash = this.crashes.get(id);
		return crash.last - crash.time;
	}

	long falseRemovals() {
		return this.falseRemovals;
	}

	private static final class Crash {

		private final long time;

		private int observers;

		private long last;

		private Crash(long time) {
			this.time = time;
		}

	}

}
