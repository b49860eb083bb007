package org.wasabicart.core.mesh;

import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of requests to a backend server, with a token bucket. Handles a server
 * in trouble that names the rate that it accepts, which may change with each response.
 */
public final class RequestRateLimiter {

	/**
	 * Rate in requests per second that is admitted under any limit: only a response shows
	 * that the limit has been raised or has ended.
	 */
	static final double MINIMUM_RATE = 0.5;

	/** Requests that may be sent together, as time at the limited rate. */
	static final double BURST_SECONDS = 0.1;

	private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private RateLimit limit = RateLimit.NONE;

	private double tokens = 1;

	private long refilled;

	/**
	 * Changes the limit.
	 * @param newLimit limit
	 * @param now current time in nanoseconds
	 */
	public void limit(RateLimit newLimit, long now) {
		if (newLimit.equals(this.limit)) {
			return;
		}
		if (this.limit.limited()) {
			refill(now);
		}
		else {
			this.tokens = 1;
			this.refilled = now;
		}
		this.limit = newLimit;
		this.tokens = Math.min(this.tokens, burst());
	}

	/**
	 * Returns the limit.
	 * @return the limit
	 */
	public RateLimit limit() {
		return this.limit;
	}

	/**
	 * Takes the permits of one request if they are available.
	 * @param now current time in nanoseconds
	 * @return whether the request may be sent
	 */
	public boolean tryAcquire(long now) {
		if (!this.limit.limited()) {
			return true;
		}
		refill(now);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	/**
	 * Returns the time until a number of further requests may have been sent.
	 * @param requests number of requests, at least 1
	 * @param now current time in nanoseconds
	 * @return the time in nanoseconds, at least 0
	 */
	public long delay(long requests, long now) {
		if (!this.limit.limited()) {
			return 0;
		}
		refill(now);
		return (long) Math.ceil(Math.max(0, (requests - this.tokens) / rate() * NANOSECONDS_PER_SECOND));
	}

	private void refill(long now) {
		double elapsedSeconds = Math.max(0, now - this.refilled) / NANOSECONDS_PER_SECOND;
		this.tokens = Math.min(burst(), this.tokens + elapsedSeconds * rate());
		this.refilled = now;
	}

	private double rate() {
		return Math.max(MINIMUM_RATE, this.limit.requestsPerSecond());
	}

	private double burst() {
		return Math.max(1, rate() * BURST_SECONDS);
	}

}
