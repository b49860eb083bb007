package org.wasabicart.core.admission;

import java.time.Duration;

/**
 * Adaptive concurrency limit. It compares the throughput at two limits to tell a backend
 * server that queues internally from one that has become slower: only in the first case
 * does a lower limit keep the throughput. Decisions use whole windows of calls, so a
 * single slow call changes nothing.
 */
final class AdaptiveLimit implements ConcurrencyLimit {

	/** Shortest window. */
	static final long WINDOW_MINIMUM = Duration.ofMillis(20).toNanos();

	/** Longest window, for servers with few calls. */
	static final long WINDOW_MAXIMUM = Duration.ofSeconds(1).toNanos();

	/** Calls that a window needs unless it has its longest time. */
	static final int WINDOW_CALLS = 40;

	/** Calls that the window of a probe needs, since it compares two noisy figures. */
	static final int PROBE_CALLS = 100;

	/** Calls without which even the longest window says nothing. */
	static final int WINDOW_CALLS_MINIMUM = 10;

	/** Latency above the base latency at which a lower limit is tried at once. */
	static final double PROBE_LATENCY_RATIO = 1.4;

	/** Latency above the base latency up to which the limit still rises. */
	static final double RISE_LATENCY_RATIO = 1.1;

	/** Share of the limit that a probe tries. */
	static final double PROBE_SHARE = 0.8;

	/** Share of the throughput that a lower limit must keep. */
	static final double KEPT_THROUGHPUT = 0.93;

	/**
	 * Share of the latency that a lower limit must not exceed. Without this, a limit
	 * falls while the throughput is bounded elsewhere, as by a nested service.
	 */
	static final double LOWER_LATENCY = 0.9;

	/** Shortest time between probes that did not lower the limit. */
	static final long PROBE_PAUSE_MINIMUM = Duration.ofSeconds(1).toNanos();

	/** Longest time between probes. */
	static final long PROBE_PAUSE_MAXIMUM = Duration.ofSeconds(16).toNanos();

	/** First rise; grows with each rise in a row, so that a large gap closes fast. */
	private static final double RISE = 0.1;

	/** A probe that fails is repeated after this many times its duration. */
	private static final int PROBE_COST_INVERSE = 10;

	private static final double RISE_GROWTH = 1.6;

	private static final double RISE_MAXIMUM = 0.5;

	private static final double SHED_SHARE = 0.05;

	private static final double SHED_DECREASE = 0.9;

	private static final double FAILED_SHARE = 0.8;

	private static final double FAILED_DECREASE = 0.8;

	private int limit;

	private double rise = RISE;

	/** Latency without queueing in the backend server, zero until observed. */
	private double baseLatency;

	private boolean probing;

	private int limitBeforeProbe;

	private double throughputBeforeProbe;

	private double latencyBeforeProbe;

	private long probePause = PROBE_PAUSE_MINIMUM;

	private long lastProbe;

	private long probeStart;

	private boolean started;

	/** Calls admitted before this time ran under an earlier limit. */
	private long settleTime;

	private final LimitWindow window = new LimitWindow();

	AdaptiveLimit(int initialLimit) {
		this.limit = initialLimit;
	}

	@Override
	public int update(LimitSample sample) {
		long now = sample.nowNanoseconds();
		if (!this.started) {
			this.started = true;
			this.lastProbe = now;
			this.settleTime = now;
			this.window.reset(now);
		}
		this.limit = Math.min(this.limit, sample.ceiling());
		if (sample.call().result() == CallSample.Result.IGNORED) {
			return this.limit;
		}
		if (sample.permit().startNanoseconds() - this.settleTime < 0) {
			// Restarts the window until the calls of the earlier limit have ended.
			this.window.reset(now);
			return this.limit;
		}
		this.window.add(sample);
		if (this.window.complete(now, Math.max(this.probing ? PROBE_CALLS : WINDOW_CALLS, 2 * this.limit))) {
			int before = this.limit;
			decide(now);
			this.limit = Math.max(1, Math.min(this.limit, sample.ceiling()));
			if (this.limit != before) {
				this.settleTime = now;
			}
			this.window.reset(now);
		}
		return this.limit;
	}

	private void decide(long now) {
		double latency = this.window.meanLatency();
		if (this.window.shedShare() > SHED_SHARE) {
			lower(SHED_DECREASE);
		}
		else if (this.window.failedShare() > FAILED_SHARE) {
			lower(FAILED_DECREASE);
		}
		else if (this.probing) {
			judgeProbe(now, latency);
		}
		else {
			adapt(now, latency);
		}
	}

	private void lower(double factor) {
		this.probing = false;
		this.limit = (int) (this.limit * factor);
	}

	private void judgeProbe(long now, double latency) {
		this.probing = false;
		this.lastProbe = now;
		boolean demanded = this.window.demandedShare() > 0.5;
		boolean kept = this.window.throughput(now) >= KEPT_THROUGHPUT * this.throughputBeforeProbe;
		if (demanded && kept && latency <= LOWER_LATENCY * this.latencyBeforeProbe) {
			// The slots above the lower limit only queued calls.
			this.baseLatency = Math.min(this.baseLatency, latency);
			this.probePause = PROBE_PAUSE_MINIMUM;
			startProbe(now);
		}
		else {
			this.limit = this.limitBeforeProbe;
			if (!kept) {
				// The latency is that of the work itself, which has become slower or
				// faster.
				this.baseLatency = latency;
			}
			long spent = PROBE_COST_INVERSE * (now - this.probeStart);
			this.probePause = Math.min(PROBE_PAUSE_MAXIMUM, Math.max(spent, 2 * this.probePause));
		}
	}

	private void adapt(long now, double latency) {
		boolean demanded = this.window.demandedShare() > 0.5;
		if (this.baseLatency == 0) {
			this.baseLatency = latency;
		}
		if (!demanded) {
			this.baseLatency = Math.min(this.baseLatency, latency);
			return;
		}
		double ratio = latency / this.baseLatency;
		long sinceProbe = now - this.lastProbe;
		boolean slow = ratio > PROBE_LATENCY_RATIO && sinceProbe > PROBE_PAUSE_MINIMUM;
		if (slow || sinceProbe > this.probePause) {
			startProbe(now);
		}
		else if (ratio < RISE_LATENCY_RATIO) {
			this.limit += (int) (this.limit * this.rise) + 1;
			this.rise = Math.min(RISE_MAXIMUM, this.rise * RISE_GROWTH);
		}
		else {
			this.rise = RISE;
		}
	}

	private void startProbe(long now) {
		int lower = (int) (this.limit * PROBE_SHARE);
		if (lower < 1 || lower == this.limit) {
			this.lastProbe = now;
			return;
		}
		this.probing = true;
		this.probeStart = now;
		this.limitBeforeProbe = this.limit;
		this.throughputBeforeProbe = this.window.throughput(now);
		this.latencyBeforeProbe = this.window.meanLatency();
		this.limit = lower;
	}

}
