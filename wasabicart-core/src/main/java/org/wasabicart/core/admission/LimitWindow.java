package org.wasabicart.core.admission;

/**
 * Totals of the calls that ended within one window of the adaptive limit.
 */
final class LimitWindow {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	/** Shortest window in mean latencies, so that a window covers whole calls. */
	private static final double MINIMUM_LATENCIES = 2;

	private long start;

	private int calls;

	private int responded;

	private int failed;

	private int shed;

	private int backlogged;

	private double latencySum;

	void reset(long now) {
		this.start = now;
		this.calls = 0;
		this.responded = 0;
		this.failed = 0;
		this.shed = 0;
		this.backlogged = 0;
		this.latencySum = 0;
	}

	void add(LimitSample sample) {
		this.calls++;
		if (sample.backlogged()) {
			this.backlogged++;
		}
		switch (sample.call().result()) {
			case SHED -> this.shed++;
			case FAILED -> {
				this.failed++;
				this.latencySum += sample.call().serviceNanoseconds();
			}
			default -> {
				this.responded++;
				this.latencySum += sample.call().serviceNanoseconds();
			}
		}
	}

	boolean complete(long now, int callsNeeded) {
		long duration = now - this.start;
		if (duration >= AdaptiveLimit.LONG_WINDOW_NANOSECONDS) {
			return this.calls >= AdaptiveLimit.LONG_WINDOW_CALLS;
		}
		double minimumNanoseconds = Math.max(AdaptiveLimit.MINIMUM_WINDOW_NANOSECONDS,
				MINIMUM_LATENCIES * meanLatency());
		return this.calls >= callsNeeded && duration >= minimumNanoseconds;
	}

	double meanLatency() {
		int timedCalls = this.responded + this.failed;
		return (timedCalls > 0) ? this.latencySum / timedCalls : 0;
	}

	double throughput(long now) {
		return this.responded * NANOSECONDS_PER_SECOND / Math.max(1, now - this.start);
	}

	double shedShare() {
		return (double) this.shed / Math.max(1, this.calls);
	}

	double failedShare() {
		return (double) this.failed / Math.max(1, this.calls);
	}

	double backloggedShare() {
		return (double) this.backlogged / Math.max(1, this.calls);
	}

}
