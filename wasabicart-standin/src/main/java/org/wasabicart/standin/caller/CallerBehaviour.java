package org.wasabicart.standin.caller;

/**
 * How a caller retries its requests, and whether it reserves tickets for orders.
 *
 * @param attemptTimeoutMilliseconds time after which it abandons an attempt
 * @param maximumAttempts maximum number of attempts, the first included
 * @param meanRetryDelayMilliseconds mean delay before a retry; the delay is uniformly
 * distributed between zero and twice the mean
 * @param reservesTickets whether it reserves a ticket before an order
 */
public record CallerBehaviour(long attemptTimeoutMilliseconds, int maximumAttempts, long meanRetryDelayMilliseconds,
		boolean reservesTickets) {

}
