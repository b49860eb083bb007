package org.wasabicart.standin.caller;

/**
 * What a caller saw of one request.
 *
 * @param arrival the request
 * @param outcome outcome
 * @param status last HTTP status, or 0 if there was none
 * @param execution last {@code Wasabicart-Execution} header, or empty
 * @param reason last {@code Wasabicart-Reason} header, or empty
 * @param ticket ticket of an order, or empty
 * @param attempts attempts that were sent
 * @param sentMicroseconds time of the first attempt since the epoch
 * @param endMicroseconds time of the end since the epoch
 * @param latencyNanoseconds time from the scheduled arrival to the end
 */
public record CallerRecord(Arrival arrival, CallerOutcome outcome, int status, String execution, String reason,
		String ticket, int attempts, long sentMicroseconds, long endMicroseconds, long latencyNanoseconds) {

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

	/**
	 * Returns whether the whole answer arrived before the deadline.
	 * @return whether the request counts as goodput
	 */
	public boolean good() {
		long deadline = this.arrival.kind().deadlineMilliseconds() * NANOSECONDS_PER_MILLISECOND;
		return this.outcome == CallerOutcome.COMPLETED && this.latencyNanoseconds <= deadline;
	}

}
