package org.wasabicart.core.admission;

import java.time.Duration;

/**
 * Concurrency limit that follows the measured capacity of a backend server. It compares
 * the throughput at two limits to tell a backend server that queues internally from one
 * that has become slower: only in the first case does a lower limit keep the throughput.
 * Each decision is based on a whole window of calls, so that a single slow call does not
 * change the limit.
 */
final class AdaptiveLimit implements ConcurrencyLimit {

	/** Shortest window. */
	static final long MINIMUM_WINDOW_NANOSECONDS = Duration.ofMillis(20).toNanos();

	/**
	 * Duration after which a window needs only {@link #LONG_WINDOW_CALLS}, for servers
	 * with few calls.
	 */
	static final long LONG_WINDOW_NANOSECONDS = Duration.ofSeconds(1).toNanos();

	/**
	 * Fewest calls that complete a window within {@link #LONG_WINDOW_NANOSECONDS}; a high
	 * limit needs more.
	 */
	static final int WINDOW_CALLS = 40;

	/** As {@link #WINDOW_CALLS}, for a probe, which compares two noisy measurements. */
	static final int PROBE_CALLS = 100;

	/** Fewest calls that complete a window after {@link #LONG_WINDOW_NANOSECONDS}. */
	static final int LONG_WINDOW_CALLS = 10;

	/** Latency, relative to the base latency, above which a probe starts early. */
	static final double PROBE_LATENCY_RATIO = 1.4;

	/** Latency, relative to the base latency, below which the limit rises. */
	static final double RISE_LATENCY_RATIO = 1.1;

	/** Limit during a probe, relative to the limit before it. */
	static final double PROBE_LIMIT_RATIO = 0.8;

	/** Least throughput of a successful probe, relative to that before it. */
	static final double MINIMUM_PROBE_THROUGHPUT_RATIO = 0.93;

	/**
	 * Highest latency of a successful probe, relative to that before it. Without this
	 * condition the limit would fall while something else bounds the throughput, such as
	 * a nested service.
	 */
	static final double MAXIMUM_PROBE_LATENCY_RATIO = 0.9;

	/** Shortest pause between probes, except after one that lowers the limit. */
	static final long MINIMUM_PROBE_PAUSE_NANOSECONDS = Duration.ofSeconds(1).toNanos();

	/** Longest pause between probes. */
	static final long MAXIMUM_PROBE_PAUSE_NANOSECONDS = Duration.ofSeconds(16).toNanos();

	/**
	 * First increase of the limit, relative to the limit. It grows with each consecutive
	 * increase, so that a limit that is far too low recovers fast.
	 */
	private static final double INITIAL_RISE_RATIO = 0.1;

	/** Least pause after a failed probe, as a multiple of the duration of the probe. */
	private static final int FAILED_PROBE_PAUSE_FACTOR = 10;

	private static final double RISE_RATIO_GROWTH = 1.6;

	private static final double MAXIMUM_RISE_RATIO = 0.5;

	/** Share of shed calls above which the limit decreases. */
	private static final double MAXIMUM_SHED_SHARE = 0.05;

	private static final double SHED_DECREASE_FACTOR = 0.9;

	/** Share of failed calls above which the limit decreases. */
	private static final double MAXIMUM_FAILED_SHARE = 0.8;

	private static final double FAILED_DECREASE_FACTOR = 0.8;

	private int limit;

	private double riseRatio = INITIAL_RISE_RATIO;

	/** Latency without queueing in the backend server, zero until measured. */
	private double baseLatency;

	private boolean probing;

	private int limitBeforeProbe;

	private double throughputBeforeProbe;

	private double latencyBeforeProbe;

	private long probePauseNanoseconds = MINIMUM_PROBE_PAUSE_NANOSECONDS;

	private long lastProbeTime;

	private long probeStartTime;

	private boolean receivedSample;

	/**
	 * Time of the last change of the limit. Calls admitted before it ran under an earlier
	 * limit and are not measured.
	 */
	private long limitChangeTime;

	private final LimitWindow window = new LimitWindow();

	AdaptiveLimit(int initialLimit) {
		this.limit = initialLimit;
	}

	@Override
	public int update(LimitSample sample) {
		long now = sample.nowNanoseconds();
		if (!this.receivedSample) {
			this.receivedSample = true;
			this.lastProbeTime = now;
			this.limitChangeTime = now;
			this.window.reset(now);
		}
		this.limit = Math.min(this.limit, sample.ceiling());
		if (sample.call().result() == CallSample.Result.IGNORED) {
			return this.limit;
		}
		if (sample.permit().startNanoseconds() - this.limitChangeTime < 0) {
			// Restarts the window until all calls admitted under the earlier limit have
			// ended.
			this.window.reset(now);
			return this.limit;
		}
		this.window.add(sample);
		if (this.window.complete(now, Math.max(this.probing ? PROBE_CALLS : WINDOW_CALLS, 2 * this.limit))) {
			int previousLimit = this.limit;
			decide(now);
			this.limit = Math.max(1, Math.min(this.limit, sample.ceiling()));
			if (this.limit != previousLimit) {
				this.limitChangeTime = now;
			}
			this.window.reset(now);
		}
		return this.limit;
	}

	private void decide(long now) {
		double latency = this.window.meanLatency();
		if (this.window.shedShare() > MAXIMUM_SHED_SHARE) {
			decreaseLimit(SHED_DECREASE_FACTOR);
		}
		else if (this.window.failedShare() > MAXIMUM_FAILED_SHARE) {
			decreaseLimit(FAILED_DECREASE_FACTOR);
		}
		else if (this.probing) {
			evaluateProbe(now, latency);
		}
		else {
			adapt(now, latency);
		}
	}

	private void decreaseLimit(double factor) {
		this.probing = false;
		this.limit = (int) (this.limit * factor);
	}

	private void evaluateProbe(long now, double latency) {
		this.probing = false;
		this.lastProbeTime = now;
		boolean backlogged = this.window.backloggedShare() > 0.5;
		boolean throughputKept = this.window.throughput(now) >= MINIMUM_PROBE_THROUGHPUT_RATIO
				* this.throughputBeforeProbe;
		if (backlogged && throughputKept && latency <= MAXIMUM_PROBE_LATENCY_RATIO * this.latencyBeforeProbe) {
			// The calls above the lower limit only waited inside the backend server.
			this.baseLatency = Math.min(this.baseLatency, latency);
			this.probePauseNanoseconds = MINIMUM_PROBE_PAUSE_NANOSECONDS;
			startProbe(now);
		}
		else {
			this.limit = this.limitBeforeProbe;
			if (!throughputKept) {
				// The server does not queue internally. The latency is that of the work
				// itself, which has become slower or faster.
				this.baseLatency = latency;
			}
			long minimumPauseNanoseconds = FAILED_PROBE_PAUSE_FACTOR * (now - this.probeStartTime);
			this.probePauseNanoseconds = Math.min(MAXIMUM_PROBE_PAUSE_NANOSECONDS,
					Math.max(minimumPauseNanoseconds, 2 * this.probePauseNanoseconds));
		}
	}

	private void adapt(long now, double latency) {
		boolean backlogged = this.window.backloggedShare() > 0.5;
		if (this.baseLatency == 0) {
			this.baseLatency = latency;
		}
		if (!backlogged) {
			this.baseLatency = Math.min(this.baseLatency, latency);
			return;
		}
		double ratio = latency / this.baseLatency;
		long sinceProbe = now - this.lastProbeTime;
		boolean latencyHigh = ratio > PROBE_LATENCY_RATIO && sinceProbe > MINIMUM_PROBE_PAUSE_NANOSECONDS;
		if (latencyHigh || sinceProbe > this.probePauseNanoseconds) {
			startProbe(now);
		}
		else if (ratio < RISE_LATENCY_RATIO) {
			this.limit += (int) (this.limit * this.riseRatio) + 1;
			this.riseRatio = Math.min(MAXIMUM_RISE_RATIO, this.riseRatio * RISE_RATIO_GROWTH);
		}
		else {
			this.riseRatio = INITIAL_RISE_RATIO;
		}
	}

	private void startProbe(long now) {
		int probeLimit = (int) (this.limit * PROBE_LIMIT_RATIO);
		if (probeLimit < 1 || probeLimit == this.limit) {
			this.lastProbeTime = now;
			return;
		}
		this.probing = true;
		this.probeStartTime = now;
		this.limitBeforeProbe = this.limit;
		this.throughputBeforeProbe = this.window.throughput(now);
		this.latencyBeforeProbe = this.window.meanLatency();
		this.limit = probeLimit;
	}

}
