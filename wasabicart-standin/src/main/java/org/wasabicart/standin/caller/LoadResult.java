package org.wasabicart.standin.caller;

import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Results of all requests of one load.
 *
 * @param records one record for each request, in the order in which they ended
 * @param startMicroseconds time at which the load was started, since the epoch
 * @param maximumLagNanoseconds longest delay of a request's start behind its scheduled
 * time
 */
public record LoadResult(List<CallerRecord> records, long startMicroseconds, long maximumLagNanoseconds) {

	private static final long HIGHEST_TRACKABLE_NANOSECONDS = 120_000_000_000L;

	private static final int SIGNIFICANT_DIGITS = 3;

	public LoadResult {
		records = List.copyOf(records);
	}

	/**
	 * Returns the latencies of the completed requests of one kind. Latencies above the
	 * highest trackable value are recorded as that value.
	 * @param kind name of the kind
	 * @return the latencies in nanoseconds
	 */
	public Histogram latencies(String kind) {
		Histogram histogram = new Histogram(HIGHEST_TRACKABLE_NANOSECONDS, SIGNIFICANT_DIGITS);
		for (CallerRecord record : this.records) {
			if (record.arrival().kind().name().equals(kind) && record.outcome() == CallerOutcome.COMPLETED) {
				histogram.recordValue(Math.min(record.latencyNanoseconds(), HIGHEST_TRACKABLE_NANOSECONDS));
			}
		}
		return histogram;
	}

}
