package org.wasabicart.core.routing;

import java.time.Duration;

import org.wasabicart.core.model.Priority;

/**
 * Threshold of one service, as answers report it. The servers of a service have different
 * thresholds; the lowest of the last two intervals counts, since a request that one
 * server refuses may be admitted by another.
 */
final class ObservedThreshold {

	/** Interval over which the lowest reported threshold is taken. */
	static final long INTERVAL = Duration.ofMillis(20).toNanos();

	/** Without reports for this time, single requests are let through as probes. */
	static final long PROBE_INTERVAL = Duration.ofMillis(100).toNanos();

	/** Without reports for this time, the threshold counts as unknown. */
	static final long MAXIMUM_AGE = Duration.ofSeconds(1).toNanos();

	private int previous;

	private int current;

	private long intervalStart;

	private long reported;

	private long probed;

	ObservedThreshold(int threshold, long now) {
		this.previous = threshold;
		this.current = threshold;
		this.intervalStart = now;
		this.reported = now;
		this.probed = now;
	}

	synchronized void report(int threshold, long now) {
		this.reported = now;
		if (now - this.intervalStart >= INTERVAL) {
			this.previous = this.current;
			this.current = threshold;
			this.intervalStart = now;
		}
		else {
			this.current = Math.min(this.current, threshold);
		}
	}

	/**
	 * Decides whether a request may pass.
	 * @param priority priority that the request has at the service
	 * @param now the ticker's time
	 * @return whether the service would probably admit it, or it passes as a probe
	 */
	synchronized boolean passes(int priority, long now) {
		if (priority >= Math.min(this.previous, this.current) || now - this.reported > MAXIMUM_AGE) {
			return true;
		}
		if (now - this.reported > PROBE_INTERVAL && now - this.probed > PROBE_INTERVAL) {
			this.probed = now;
			return true;
		}
		return false;
	}

	/**
	 * Returns the last threshold, for the retry hint.
	 * @return share of all priorities that the service refuses, 0 to 1
	 */
	synchronized double refusedShare() {
		return (double) Math.min(this.previous, this.current) / Priority.LEVELS;
	}

}
