package org.wasabicart.core.allotment;

import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * Decides among how many nodes the allotments are divided. A node that has just started
 * lists only the nodes whose entries have not run out, at times none, and would lend the
 * shares of all others. Addresses fleets that start together while their entries are
 * missing, and demand above the allotment at that moment.
 */
public final class FleetSize {

	/** Divisor while the size is unknown, which leaves no share to lend. */
	public static final int UNKNOWN = 1 << 20;

	/**
	 * Time after a node's first list in which the nodes of a fleet that has never been
	 * recorded appear in it.
	 */
	private static final long FORMATION = TimeUnit.SECONDS.toNanos(3);

	/**
	 * Time after a node's first list for which it takes the recorded size into account,
	 * as a running node does with nodes that it no longer lists.
	 */
	private static final long REMEMBERED = TimeUnit.SECONDS.toNanos(30);

	/**
	 * Time for which fewer nodes must be known before the record is lowered, so that a
	 * node that restarts is not left out.
	 */
	private static final long LOWERING_DELAY = TimeUnit.SECONDS.toNanos(10);

	private boolean listed;

	private long listedSince;

	private OptionalInt recorded = OptionalInt.empty();

	private boolean lower;

	private long lowerSince;

	/**
	 * Processes a list of the nodes.
	 * @param size size that is recorded, if any
	 * @param now current time in nanoseconds
	 */
	public void listed(OptionalInt size, long now) {
		if (!this.listed) {
			this.listed = true;
			this.listedSince = now;
		}
		this.recorded = size;
	}

	/**
	 * Processes a change of the recorded size.
	 * @param size size, or empty if the record is gone
	 */
	public void recorded(OptionalInt size) {
		this.recorded = size;
	}

	/**
	 * Returns whether the size is known, so that this node may coordinate.
	 * @param now current time in nanoseconds
	 * @return whether the size is recorded, or has had time to appear in the list
	 */
	public boolean known(long now) {
		return this.listed && (this.recorded.isPresent() || now - this.listedSince >= FORMATION);
	}

	/**
	 * Returns the number of nodes among which the allotments are divided.
	 * @param nodes nodes that this one knows, with itself
	 * @param now current time in nanoseconds
	 * @return the number, or {@link #UNKNOWN}
	 */
	public int divisor(int nodes, long now) {
		if (!known(now)) {
			return UNKNOWN;
		}
		return (now - this.listedSince < REMEMBERED) ? Math.max(nodes, this.recorded.orElse(nodes)) : nodes;
	}

	/**
	 * Returns the size that the coordinator should record.
	 * @param nodes nodes that it knows, with itself
	 * @param now current time in nanoseconds
	 * @return the size, or empty if the record need not change
	 */
	public OptionalInt sizeToRecord(int nodes, long now) {
		if (!known(now)) {
			return OptionalInt.empty();
		}
		boolean fewer = this.recorded.isPresent() && nodes < this.recorded.getAsInt();
		if (fewer && !this.lower) {
			this.lowerSince = now;
		}
		this.lower = fewer;
		boolean right = this.recorded.isPresent() && nodes == this.recorded.getAsInt();
		return (right || fewer && now - this.lowerSince < LOWERING_DELAY) ? OptionalInt.empty() : OptionalInt.of(nodes);
	}

}
