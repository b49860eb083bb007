package org.wasabicart.core.mesh;

import java.util.Objects;

/**
 * One call that asks for a slot of the backend server.
 */
public final class GateEntry {

	private final long rank;

	private final long latestStart;

	private final Listener listener;

	private long sequence;

	/**
	 * Creates an entry.
	 * @param rank order among waiting calls; the lowest goes first
	 * @param latestStart latest useful start, in nanoseconds of the caller's clock
	 * @param listener receives the decision
	 */
	public GateEntry(long rank, long latestStart, Listener listener) {
		this.rank = rank;
		this.latestStart = latestStart;
		this.listener = Objects.requireNonNull(listener, "listener");
	}

	long rank() {
		return this.rank;
	}

	long latestStart() {
		return this.latestStart;
	}

	Listener listener() {
		return this.listener;
	}

	long sequence() {
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
		 * The call has a slot and must be reported as finished later.
		 */
		void admitted();

		/**
		 * The call does not run.
		 * @param refusal reason
		 */
		void refused(GateRefusal refusal);

	}

}
