package org.wasabicart.node.observe;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.wasabicart.core.Ticker;

/**
 * Bounds the rate of log lines on hot paths, and counts the lines that were left out.
 */
final class LogLimiter {

	private static final long PERIOD_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private final Ticker ticker;

	private final int linesPerSecond;

	private long periodStartNanoseconds;

	private int linesInPeriod;

	private long suppressed;

	LogLimiter(Ticker ticker, int linesPerSecond) {
		this.ticker = ticker;
		this.linesPerSecond = linesPerSecond;
		this.periodStartNanoseconds = ticker.nanoseconds();
	}

	/**
	 * Requests permission to write one line.
	 * @return number of lines left out since the last written one, or empty if this line
	 * is to be left out too
	 */
	synchronized OptionalLong tryToLog() {
		long now = this.ticker.nanoseconds();
		if (now - this.periodStartNanoseconds >= PERIOD_NANOSECONDS) {
			this.periodStartNanoseconds = now;
			this.linesInPeriod = 0;
		}
		if (this.linesInPeriod >= this.linesPerSecond) {
			this.suppressed++;
			return OptionalLong.empty();
		}
		this.linesInPeriod++;
		long leftOut = this.suppressed;
		this.suppressed = 0;
		return OptionalLong.of(leftOut);
	}

}
