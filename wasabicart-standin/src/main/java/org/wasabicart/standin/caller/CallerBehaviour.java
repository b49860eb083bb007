package org.wasabicart.standin.caller;

/**
 * How a caller repeats a request.
 *
 * @param patienceMilliseconds time after which it abandons an attempt and sends another
 * @param maximumAttempts attempts in all
 * @param pauseMilliseconds mean pause before another attempt
 * @param orderTickets whether it reserves a ticket before an order
 */
public record CallerBehaviour(long patienceMilliseconds, int maximumAttempts, long pauseMilliseconds,
		boolean orderTickets) {

}
