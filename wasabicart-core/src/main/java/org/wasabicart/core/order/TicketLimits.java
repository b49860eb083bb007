package org.wasabicart.core.order;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds of a ticket table.
 *
 * @param maximumTickets most tickets of all states
 * @param reservedFor time after which a ticket that was not begun expires
 * @param keptFor time for which a finished or barred ticket is kept
 * @param resultBytes most bytes of all kept results
 */
public record TicketLimits(int maximumTickets, Duration reservedFor, Duration keptFor, long resultBytes) {

	/** Limits of a home node. */
	public static final TicketLimits HOME = new TicketLimits(20_000, Duration.ofMinutes(5), Duration.ofMinutes(5),
			8L << 20);

	/**
	 * Limits of a serving node. At 60 orders per second the table holds 36,000 tickets.
	 */
	public static final TicketLimits SERVING = new TicketLimits(40_000, Duration.ofMinutes(10), Duration.ofMinutes(10),
			4L << 20);

	public TicketLimits {
		Objects.requireNonNull(reservedFor, "reservedFor");
		Objects.requireNonNull(keptFor, "keptFor");
		if (maximumTickets < 1 || resultBytes < 0) {
			throw new IllegalArgumentException("Limits of tickets are too low");
		}
	}

}
