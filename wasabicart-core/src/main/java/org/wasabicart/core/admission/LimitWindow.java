package org.wasabicart.core.admission;

/**
 * Sums of the calls that ended within one window of the adaptive limit.
 */
final class LimitWindow {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	/** Windows last at least this many mean latencies, so that they see whole calls. */
	private static final double LATENCIES = 2;

	private long start;

	private int calls;

	private int responded;

	private int failed;

	private int shed;

	private int demanded;

	private double latencySum;

	void reset(long now) {
		this.start = now;
		this.calls = 0;
		this.responded = 0;
		this.failed = 0;
		this.shed = 0;
		this.demanded = 0;
		this.latencySum = 0;
	}

	void add(LimitSample sample) {
		this.calls++;
		if (sample.demanded()) {
			this.demanded++;
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
		if (duration >= AdaptiveLimit.WINDOW_MAXIMUM) {
			return this.calls >= AdaptiveLimit.WINDOW_CALLS_MINIMUM;
		}
		double minimum = Math.max(AdaptiveLimit.WINDOW_MINIMUM, LATENCIES * meanLatency());
		return this.calls >= callsNeeded && duration >= minimum;
	}

	double meanLatency() {
		int timed = this.responded + this.failed;
		return (timed > 0) ? this.latencySum / timed : 0;
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

	double demandedShare() {
		return (double) this.demanded / Math.max(1, this.calls);
	}

}
