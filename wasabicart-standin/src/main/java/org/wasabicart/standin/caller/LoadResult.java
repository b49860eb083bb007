package org.wasabicart.standin.caller;

import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * What the callers saw in one run.
 *
 * @param records one record for each arrival, in the order of their end
 * @param startMicroseconds start of the load since the epoch
 * @param maximumLagNanoseconds longest delay of a first attempt behind its scheduled time
 */
public record LoadResult(List<CallerRecord> records, long startMicroseconds, long maximumLagNanoseconds) {

	private static final long HIGHEST_NANOSECONDS = 120_000_000_000L;

	private static final int SIGNIFICANT_DIGITS = 3;

	public LoadResult {
		records = List.copyOf(records);
	}

	/**
	 * Returns the latencies of the requests of one kind that were answered.
	 * @param kind kind
	 * @return the latencies in nanoseconds
	 */
	public Histogram latencies(String kind) {
		Histogram histogram = new Histogram(HIGHEST_NANOSECONDS, SIGNIFICANT_DIGITS);
		for (CallerRecord record : this.records) {
			if (record.arrival().kind().name().equals(kind) && record.outcome() == CallerOutcome.COMPLETED) {
				histogram.recordValue(Math.min(record.latencyNanoseconds(), HIGHEST_NANOSECONDS));
			}
		}
		return histogram;
	}

}
