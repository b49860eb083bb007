package org.wasabicart.mesh;

import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * Logs decisions on single requests, up to a rate. What is left out is counted and the
 * count logged, so that the volume stays bounded under load.
 */
final class DecisionLog {

	private static final Logger logger = Logger.getLogger(DecisionLog.class);

	/** Lines in one second: at 200 bytes a line, 20 KB/s on the busiest node. */
	private static final int LINES_PER_SECOND = 100;

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	/** Fractions are logged in hundredths. */
	private static final double FRACTION = 100;

	/** Characters of a usual line. */
	private static final int LINE_CHARACTERS = 200;

	private long windowStart = System.nanoTime();

	private int lines;

	private long suppressed;

	/**
	 * Logs one decision.
	 * @param event name of the decision
	 * @param fields names and values in turn
	 */
	void log(String event, Object... fields) {
		long now = System.nanoTime();
		if (now - this.windowStart >= SECOND) {
			if (this.suppressed > 0) {
				logger.infof("event=decisions-not-logged count=%d", this.suppressed);
			}
			this.windowStart = now;
			this.lines = 0;
			this.suppressed = 0;
		}
		if (this.lines >= LINES_PER_SECOND) {
			this.suppressed++;
			return;
		}
		this.lines++;
		logger.info(line(event, fields));
	}

	// A formatter would take most of the time of a refusal.
	private static String line(String event, Object... fields) {
		StringBuilder line = new StringBuilder(LINE_CHARACTERS).append("event=").append(event);
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
			return Double.toString(Math.round(number * FRACTION) / FRACTION);
		}
		return String.valueOf(value);
	}

}
