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

	private long periodStart;

	private int lines;

	private long suppressed;

	LogLimiter(Ticker ticker, int linesPerSecond) {
		this.ticker = ticker;
		this.linesPerSecond = linesPerSecond;
		this.periodStart = ticker.nanoseconds();
	}

	/**
	 * Asks to write one line.
	 * @return number of lines left out since the last written one, or empty if this line
	 * is to be left out too
	 */
	synchronized OptionalLong tryToLog() {
		long now = this.ticker.nanoseconds();
		if (now - this.periodStart >= PERIOD_NANOSECONDS) {
			this.periodStart = now;
			this.lines = 0;
		}
		if (this.lines >= this.linesPerSecond) {
			this.suppressed++;
			return OptionalLong.empty();
		}
		this.lines++;
		long leftOut = this.suppressed;
		this.suppressed = 0;
		return OptionalLong.of(leftOut);
	}

}
