package org.wasabicart.core.mesh;

/**
 * Order of the calls that wait for a slot: calls of running requests first, then by
 * priority.
 */
public final class CallRank {

	private static final long ROOT = 1L << 32;

	private CallRank() {
	}

	/**
	 * Returns the rank of a call.
	 * @param priority rank of its route; 0 is the highest
	 * @param nested whether a running request made the call
	 * @return the rank; the lowest goes first
	 */
	public static long of(int priority, boolean nested) {
		return (nested ? 0 : ROOT) + priority;
	}

}
