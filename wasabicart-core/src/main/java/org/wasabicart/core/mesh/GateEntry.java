package org.wasabicart.core.mesh;

import java.util.Objects;

/**
 * A call that requests a slot of the backend server.
 */
public final class GateEntry {

	private final RequestPriority priority;

	private final long latestStart;

	private final TargetTerms targetTerms;

	private final Listener listener;

	private long sequence;

	/**
	 * Creates an entry.
	 * @param priority priority of the call
	 * @param latestStart latest useful start, in nanoseconds of the clock whose times are
	 * passed to {@link SlotGate}
	 * @param listener receives the decision
	 */
	public GateEntry(RequestPriority priority, long latestStart, Listener listener) {
		this(priority, latestStart, TargetTerms.NONE, listener);
	}

	/**
	 * Creates an entry for an order by target latency.
	 * @param priority priority of the call
	 * @param latestStart latest useful start, in nanoseconds of the clock whose times are
	 * passed to {@link SlotGate}
	 * @param targetTerms target latency, workspace and origin of the call
	 * @param listener receives the decision
	 */
	public GateEntry(RequestPriority priority, long latestStart, TargetTerms targetTerms, Listener listener) {
		this.priority = Objects.requireNonNull(priority, "priority");
		this.latestStart = latestStart;
		this.targetTerms = Objects.requireNonNull(targetTerms, "targetTerms");
		this.listener = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Returns the priority of the call.
	 * @return the priority
	 */
	public RequestPriority priority() {
		return this.priority;
	}

	/**
	 * Returns the latest useful start.
	 * @return the time in nanoseconds
	 */
	public long latestStart() {
		return this.latestStart;
	}

	/**
	 * Returns the target latency, workspace and origin of the call.
	 * @return the terms
	 */
	public TargetTerms targetTerms() {
		return this.targetTerms;
	}

	Listener listener() {
		return this.listener;
	}

	/**
	 * Returns the place of the call in the order of arrival.
	 * @return the place
	 */
	public long sequence() {
		return this.sequence;
	}

	void sequence(long value) {
		this.sequence = value;
	}

	/**
	 * Receives the decision on one entry.
	 */
	public interface Listener {

		/**
		 * The call has a slot, which {@link SlotGate#finished} must release later.
		 */
		void admitted();

		/**
		 * The call does not run.
		 * @param refusal reason
		 */
		void refused(GateRefusal refusal);

	}

}
