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

	private long windowStart = System.nanoTime();

	private int lines;

	private long suppressed;

	void log(String format, Object... arguments) {
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
		logger.infof(format, arguments);
	}

}
