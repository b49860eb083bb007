package org.wasabicart.core.order;

import java.time.Duration;
import java.util.Objects;

/**
 * Size and time limits of a ticket table.
 *
 * @param maximumTickets maximum number of tickets in all states
 * @param reservationPeriod time after which a ticket that has not begun expires
 * @param retentionPeriod time for which a finished or barred ticket is retained
 * @param maximumResultBytes maximum total size of the retained results, in bytes
 */
public record TicketLimits(int maximumTickets, Duration reservationPeriod, Duration retentionPeriod,
		long maximumResultBytes) {

	/** Limits of a home node. */
	public static final TicketLimits HOME = new TicketLimits(20_000, Duration.ofMinutes(5), Duration.ofMinutes(5),
			8L << 20);

	/**
	 * Limits of a serving node. At 60 orders per second and 10 minutes of retention, the
	 * table holds 36,000 tickets.
	 */
	public static final TicketLimits SERVING = new TicketLimits(40_000, Duration.ofMinutes(10), Duration.ofMinutes(10),
			4L << 20);

	public TicketLimits {
		Objects.requireNonNull(reservationPeriod, "reservationPeriod");
		Objects.requireNonNull(retentionPeriod, "retentionPeriod");
		if (maximumTickets < 1 || maximumResultBytes < 0) {
			throw new IllegalArgumentException(
					"maximumTickets must be positive and maximumResultBytes must not be negative");
		}
	}

}
