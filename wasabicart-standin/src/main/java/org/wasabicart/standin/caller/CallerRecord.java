package org.wasabicart.standin.caller;

/**
 * Result of one request, as its caller observed it.
 *
 * @param arrival the request
 * @param outcome how the request ended
 * @param status last HTTP status, or 0 if there was none
 * @param execution last {@code Wasabicart-Execution} header, or empty
 * @param reason last {@code Wasabicart-Reason} header, or empty
 * @param ticket ticket of an order, or empty
 * @param attempts number of attempts, failed ticket reservations included
 * @param sentMicroseconds time at which the request was started, since the epoch
 * @param endMicroseconds time at which the request ended, since the epoch
 * @param latencyNanoseconds time from the scheduled arrival to the end
 */
public record CallerRecord(Arrival arrival, CallerOutcome outcome, int status, String execution, String reason,
		String ticket, int attempts, long sentMicroseconds, long endMicroseconds, long latencyNanoseconds) {

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

	/**
	 * Returns whether the complete answer arrived before the deadline.
	 * @return whether the request counts as goodput
	 */
	public boolean countsAsGoodput() {
		long deadline = this.arrival.kind().deadlineMilliseconds() * NANOSECONDS_PER_MILLISECOND;
		return this.outcome == CallerOutcome.COMPLETED && this.latencyNanoseconds <= deadline;
	}

}
