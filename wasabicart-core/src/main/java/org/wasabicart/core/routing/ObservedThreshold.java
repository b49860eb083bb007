package org.wasabicart.core.routing;

import java.time.Duration;

import org.wasabicart.core.model.Priority;

/**
 * Admission threshold of one service, as answers report it. The backend servers of a
 * service have different thresholds. The lowest one of the last two intervals is used,
 * since a request that one server refuses may be admitted by another.
 */
final class ObservedThreshold {

	/** Interval of which the lowest reported threshold is kept. */
	static final long INTERVAL_NANOSECONDS = Duration.ofMillis(20).toNanos();

	/** Time without reports after which single requests pass as probes. */
	static final long PROBE_INTERVAL_NANOSECONDS = Duration.ofMillis(100).toNanos();

	/** Time without reports after which the threshold counts as unknown. */
	static final long MAXIMUM_AGE_NANOSECONDS = Duration.ofSeconds(1).toNanos();

	private int previousLowest;

	private int currentLowest;

	private long intervalStart;

	private long lastReport;

	private long lastProbe;

	ObservedThreshold(int threshold, long now) {
		this.previousLowest = threshold;
		this.currentLowest = threshold;
		this.intervalStart = now;
		this.lastReport = now;
		this.lastProbe = now;
	}

	synchronized void report(int threshold, long now) {
		this.lastReport = now;
		if (now - this.intervalStart >= INTERVAL_NANOSECONDS) {
			this.previousLowest = this.currentLowest;
			this.currentLowest = threshold;
			this.intervalStart = now;
		}
		else {
			this.currentLowest = Math.min(this.currentLowest, threshold);
		}
	}

	/**
	 * Decides whether a request may pass.
	 * @param priority priority that the request has at the service
	 * @param now the ticker's time
	 * @return whether the service would probably admit it, or it passes as a probe
	 */
	synchronized boolean passes(int priority, long now) {
		if (priority >= Math.min(this.previousLowest, this.currentLowest)
				|| now - this.lastReport > MAXIMUM_AGE_NANOSECONDS) {
			return true;
		}
		if (now - this.lastReport > PROBE_INTERVAL_NANOSECONDS && now - this.lastProbe > PROBE_INTERVAL_NANOSECONDS) {
			this.lastProbe = now;
			return true;
		}
		return false;
	}

	/**
	 * Returns the share of priorities below the threshold, for the retry hint.
	 * @return share of all priorities that the service refuses, 0 to 1
	 */
	synchronized double refusedShare() {
		return (double) Math.min(this.previousLowest, this.currentLowest) / Priority.LEVELS;
	}

}
