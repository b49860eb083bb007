package org.wasabicart.core.overload;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.wasabicart.core.mesh.GateEntry;
import org.wasabicart.core.workspace.WorkspaceName;

/**
 * Waiting calls of one priority: nested calls first, then new calls that can still meet
 * their target latency, then late ones. New calls of a class are served by start-time
 * fair queueing of their workspaces with equal weights; calls without a workspace count
 * as those of one.
 */
final class TargetLatencyClasses {

	/**
	 * Calls of other classes in a row while a call on time waits. Without a limit, nested
	 * calls starve new ones.
	 */
	private static final int MAXIMUM_PASSED_OVER_ON_TIME = 7;

	/**
	 * Calls of other classes in a row while a late call waits. Without a limit, routes
	 * that can never meet their target latency starve. Late calls get the least share
	 * that is a quarter of the mean of three classes, since it is lost to calls on time.
	 */
	private static final int MAXIMUM_PASSED_OVER_LATE = 10;

	private static final Comparator<GateEntry> BY_TARGET = Comparator
		.comparingLong((GateEntry entry) -> entry.targetTerms().latestTargetStart().orElse(entry.latestStart()))
		.thenComparingLong(GateEntry::sequence);

	private static final Comparator<GateEntry> BY_LATEST_START = Comparator.comparingLong(GateEntry::latestStart)
		.thenComparingLong(GateEntry::sequence);

	private final TreeSet<GateEntry> nested = new TreeSet<>(BY_LATEST_START);

	private final Map<Optional<WorkspaceName>, WorkspaceCalls> workspaces = new HashMap<>();

	/** Start tag of the workspace that was served last. */
	private long virtualTime;

	private int onTimeSize;

	private int lateSize;

	private int onTimePassedOver;

	private int latePassedOver;

	void add(GateEntry entry, long now) {
		if (entry.targetTerms().nested()) {
			this.nested.add(entry);
			return;
		}
		WorkspaceCalls calls = this.workspaces.computeIfAbsent(entry.targetTerms().workspace(),
				(name) -> new WorkspaceCalls());
		if (late(entry, now)) {
			calls.late.add(entry);
			this.lateSize++;
		}
		else {
			calls.onTime.add(entry);
			this.onTimeSize++;
		}
	}

	private static boolean late(GateEntry entry, long now) {
		return entry.targetTerms().latestTargetStart().isPresent()
				&& now - entry.targetTerms().latestTargetStart().getAsLong() > 0;
	}

	boolean remove(GateEntry entry) {
		if (this.nested.remove(entry)) {
			return true;
		}
		WorkspaceCalls calls = this.workspaces.get(entry.targetTerms().workspace());
		if (calls == null) {
			return false;
		}
		if (calls.onTime.remove(entry)) {
			this.onTimeSize--;
		}
		else if (calls.late.remove(entry)) {
			this.lateSize--;
		}
		else {
			return false;
		}
		return true;
	}

	GateEntry first(long now) {
		this.workspaces.values().forEach((calls) -> demote(calls, now));
		boolean lateDue = this.lateSize > 0 && this.latePassedOver >= MAXIMUM_PASSED_OVER_LATE;
		boolean onTimeDue = this.onTimeSize > 0 && this.onTimePassedOver >= MAXIMUM_PASSED_OVER_ON_TIME;
		if (lateDue) {
			return firstWorkspace(true).late.first();
		}
		if (!this.nested.isEmpty() && !onTimeDue) {
			return this.nested.first();
		}
		return (this.onTimeSize > 0) ? firstWorkspace(false).onTime.first() : firstWorkspace(true).late.first();
	}

	private void demote(WorkspaceCalls calls, long now) {
		while (!calls.onTime.isEmpty() && late(calls.onTime.first(), now)) {
			calls.late.add(calls.onTime.pollFirst());
			this.onTimeSize--;
			this.lateSize++;
		}
	}

	private WorkspaceCalls firstWorkspace(boolean late) {
		WorkspaceCalls first = null;
		for (WorkspaceCalls calls : this.workspaces.values()) {
			if (calls.waiting(late).isEmpty()) {
				continue;
			}
			if (first == null || precedes(calls, first, late)) {
				first = calls;
			}
		}
		return first;
	}

	private boolean precedes(WorkspaceCalls calls, WorkspaceCalls other, boolean late) {
		long start = startTag(calls);
		long otherStart = startTag(other);
		if (start != otherStart) {
			return start < otherStart;
		}
		return (late ? BY_LATEST_START : BY_TARGET).compare(calls.waiting(late).first(),
				other.waiting(late).first()) < 0;
	}

	private long startTag(WorkspaceCalls calls) {
		return Math.max(this.virtualTime, calls.finishTag);
	}

	void admitted(GateEntry entry) {
		boolean ofNested = this.nested.remove(entry);
		boolean ofLate = false;
		if (!ofNested) {
			WorkspaceCalls calls = this.workspaces.get(entry.targetTerms().workspace());
			ofLate = calls.late.remove(entry);
			if (ofLate) {
				this.lateSize--;
			}
			else {
				calls.onTime.remove(entry);
				this.onTimeSize--;
			}
			// A late call that was due may start after others with a higher tag.
			this.virtualTime = startTag(calls);
			calls.finishTag = this.virtualTime + 1;
		}
		boolean ofOnTime = !ofNested && !ofLate;
		this.onTimePassedOver = (!ofOnTime && this.onTimeSize > 0) ? this.onTimePassedOver + 1 : 0;
		this.latePassedOver = (!ofLate && this.lateSize > 0) ? this.latePassedOver + 1 : 0;
		// The finish tag of an idle workspace has no effect once the virtual time reached
		// it.
		this.workspaces.values()
			.removeIf((calls) -> calls.onTime.isEmpty() && calls.late.isEmpty() && calls.finishTag <= this.virtualTime);
	}

	/**
	 * Returns the number of waiting calls that are served before a new one, if none
	 * arrives and none becomes late.
	 * @param entry new call
	 * @param now current time in nanoseconds
	 * @return the number
	 */
	long callsBefore(GateEntry entry, long now) {
		if (entry.targetTerms().nested()) {
			long before = this.nested.headSet(entry).size();
			return before + Math.min(before / MAXIMUM_PASSED_OVER_ON_TIME, this.onTimeSize)
					+ Math.min(before / MAXIMUM_PASSED_OVER_LATE, this.lateSize);
		}
		boolean late = late(entry, now);
		WorkspaceCalls own = this.workspaces.get(entry.targetTerms().workspace());
		long ownBefore = (own != null) ? own.waiting(late).headSet(entry).size() : 0;
		long ownTag = ((own != null) ? startTag(own) : this.virtualTime) + ownBefore;
		long before = ownBefore;
		for (WorkspaceCalls calls : this.workspaces.values()) {
			if (calls != own) {
				before += Math.max(0, Math.min(calls.waiting(late).size(), ownTag - startTag(calls) + 1));
			}
		}
		long urgent = this.nested.size() + (late ? this.onTimeSize : 0);
		return before
				+ Math.min(urgent, (before + 1) * (late ? MAXIMUM_PASSED_OVER_LATE : MAXIMUM_PASSED_OVER_ON_TIME));
	}

	void collectExpired(long now, List<GateEntry> expired) {
		collectExpired(this.nested, now, expired);
		this.workspaces.values().forEach((calls) -> {
			collectExpired(calls.onTime, now, expired);
			collectExpired(calls.late, now, expired);
		});
	}

	private static void collectExpired(TreeSet<GateEntry> entries, long now, List<GateEntry> expired) {
		entries.stream().filter((entry) -> now - entry.latestStart() > 0).forEach(expired::add);
	}

	void collect(List<GateEntry> all) {
		all.addAll(this.nested);
		this.workspaces.values().forEach((calls) -> {
			all.addAll(calls.onTime);
			all.addAll(calls.late);
		});
	}

	int size() {
		return this.nested.size() + this.onTimeSize + this.lateSize;
	}

	boolean isEmpty() {
		return size() == 0;
	}

	/**
	 * Waiting new calls of one workspace.
	 */
	private static final class WorkspaceCalls {

		private final TreeSet<GateEntry> onTime = new TreeSet<>(BY_TARGET);

		private final TreeSet<GateEntry> late = new TreeSet<>(BY_LATEST_START);

		private long finishTag;

		TreeSet<GateEntry> waiting(boolean ofLate) {
			return ofLate ? this.late : this.onTime;
		}

	}

}
