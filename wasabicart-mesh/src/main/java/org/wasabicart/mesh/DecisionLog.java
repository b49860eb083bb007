package org.wasabicart.mesh;

import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * Logs decisions about single requests up to a maximum rate, which bounds the log volume
 * under load. Decisions above the rate are counted, and their number is logged.
 */
final class DecisionLog {

	private static final Logger logger = Logger.getLogger(DecisionLog.class);

	/** At 200 bytes per line, at most 20 KB/s per node. */
	private static final int MAXIMUM_LINES_PER_SECOND = 100;

	private static final long WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	/** Fractions are rounded to hundredths. */
	private static final double FRACTION_SCALE = 100;

	/** Length of a typical line. */
	private static final int INITIAL_LINE_CHARACTERS = 200;

	private long windowStart = System.nanoTime();

	private int lines;

	private long suppressed;

	/**
	 * Logs one decision.
	 * @param event name of the event
	 * @param fields alternating field names and values
	 */
	void log(String event, Object... fields) {
		long now = System.nanoTime();
		if (now - this.windowStart >= WINDOW_NANOSECONDS) {
			if (this.suppressed > 0) {
				logger.infof("event=decisions-not-logged count=%d", this.suppressed);
			}
			this.windowStart = now;
			this.lines = 0;
			this.suppressed = 0;
		}
		if (this.lines >= MAXIMUM_LINES_PER_SECOND) {
			this.suppressed++;
			return;
		}
		this.lines++;
		logger.info(line(event, fields));
	}

	// A format string would take most of the processor time of a refusal.
	private static String line(String event, Object... fields) {
		StringBuilder line = new StringBuilder(INITIAL_LINE_CHARACTERS).append("event=").append(event);
		for (int i = 0; i + 1 < fields.length; i += 2) {
			line.append(' ').append(fields[i]).append('=');
			String value = text(fields[i + 1]);
			if (value.indexOf(' ') >= 0) {
				line.append('"').append(value).append('"');
			}
			else {
				line.append(value);
			}
		}
		return line.toString();
	}

	private static String text(Object value) {
		if (value instanceof Double number) {
			return Double.toString(Math.round(number * FRACTION_SCALE) / FRACTION_SCALE);
		}
		return String.valueOf(value);
	}

}
