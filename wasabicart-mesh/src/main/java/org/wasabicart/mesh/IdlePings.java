package org.wasabicart.mesh;

import java.util.concurrent.TimeUnit;

/**
 * Decides how often the idle links of a node are checked. The number of links grows with
 * the fleet, but the pings that a node sends do not: a link that is silent is also found
 * by the calls on it, and keep-alive probes of the kernel find a lost VM.
 */
final class IdlePings {

	/** Shortest time without received data after which an idle link is checked. */
	static final long MINIMUM_DELAY = TimeUnit.SECONDS.toNanos(2);

	/** Pings that a node sends on idle links in a second. */
	private static final int MAXIMUM_PINGS_PER_SECOND = 16;

	private IdlePings() {
	}

	/**
	 * Returns the time without received data after which an idle link is checked.
	 * @param links number of links
	 * @return the time in nanoseconds
	 */
	static long delay(int links) {
		return Math.max(MINIMUM_DELAY, TimeUnit.SECONDS.toNanos(links) / MAXIMUM_PINGS_PER_SECOND);
	}

}
