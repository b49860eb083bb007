package org.wasabicart.core.allotment;

import java.util.concurrent.TimeUnit;

/**
 * Periods of the exchange between nodes and the coordinator, in nanoseconds. They grow
 * with the fleet, since all reports meet at one node: at 680 nodes and 0.5 s these are
 * 1,360 reports a second.
 */
final class AllotmentTimes {

	/**
	 * Interval of the reports of a node without demand. They show that the node follows
	 * this coordinator, and two of them fit into {@link #COUNTED}.
	 */
	static final long IDLE_REPORT_INTERVAL = TimeUnit.MILLISECONDS.toNanos(350);

	/**
	 * Time after a grant that a node has confirmed for which the node counts for the
	 * share of its coordinator.
	 */
	static final long COUNTED = TimeUnit.MILLISECONDS.toNanos(1200);

	/**
	 * Time after the last grant for which a node uses credit. The coordinator may have
	 * closed it since; a node without demand gets a grant every 0.35 s and a round trip.
	 */
	static final long CREDIT_VALID = TimeUnit.MILLISECONDS.toNanos(600);

	/** Time after a pause of the coordinator in which nodes confirm a grant. */
	static final long COUNTED_AFTER_PAUSE = TimeUnit.MILLISECONDS.toNanos(450);

	/**
	 * Time after its last grant at which a node counts for another coordinator and uses
	 * its fixed share. The 0.3 s in which it counts twice are part of the tolerance of
	 * the bound, see {@link AllotmentTolerance}.
	 */
	static final long ALONE = TimeUnit.MILLISECONDS.toNanos(900);

	/**
	 * Time after which tokens have expired at a node that has not reported them since;
	 * longer than the longest {@link #tokenLife(int)}.
	 */
	static final long TOKENS_LOST = TimeUnit.MILLISECONDS.toNanos(1500);

	/**
	 * Time after a handover in which the nodes of the fleet follow the new coordinator.
	 */
	static final long HANDOVER = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Time in which a change of the configuration reaches all nodes. A new workspace has
	 * one credit at each node meanwhile.
	 */
	static final long CONFIGURATION_SPREAD = TimeUnit.SECONDS.toNanos(3);

	/**
	 * Time after which earlier requests of a workspace do not count for the bound any
	 * more: the window of 5 s, and the longest {@link #tokenLife(int)}.
	 */
	static final long FORGOTTEN = TimeUnit.MILLISECONDS.toNanos(6500);

	/** Shortest time between two reports of a node. */
	static final long SHORTEST_REPORT_INTERVAL = TimeUnit.MILLISECONDS.toNanos(10);

	private static final long SHORTEST_INTERVAL = TimeUnit.MILLISECONDS.toNanos(200);

	private static final long LONGEST_INTERVAL = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long INTERVAL_FOR_EACH_MEMBER = TimeUnit.MICROSECONDS.toNanos(750);

	private AllotmentTimes() {
	}

	/**
	 * Returns the interval of the reports of a node with demand.
	 * @param members nodes of the fleet
	 * @return the interval, 0.2 to 0.5 s
	 */
	static long interval(int members) {
		return Math.max(SHORTEST_INTERVAL, Math.min(LONGEST_INTERVAL, members * INTERVAL_FOR_EACH_MEMBER));
	}

	/**
	 * Returns the time in which a request on credit is reported. The coordinator must
	 * close the credit before 4.75 times the allotted rate, which is 7.6 times the usual
	 * demand, has used up half of the burst.
	 * @param members nodes of the fleet
	 * @return the time, 50 to 125 ms
	 */
	static long creditDelay(int members) {
		return interval(members) / 4;
	}

	/**
	 * Returns the time from a report after which the tokens of its grant expire.
	 * @param members nodes of the fleet
	 * @return the time, 0.5 to 1.25 s
	 */
	static long tokenLife(int members) {
		return interval(members) * 5 / 2;
	}

}
