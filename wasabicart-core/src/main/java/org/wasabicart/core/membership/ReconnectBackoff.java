package org.wasabicart.core.membership;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter, so that nodes whose calls failed together do not
 * retry together. Not thread-safe.
 */
public final class ReconnectBackoff {

	private final long first;

	private final long maximum;

	private final RandomGenerator random;

	private long ceiling;

	/**
	 * Creates a backoff.
	 * @param first upper bound of the first delay
	 * @param maximum upper bound of all delays
	 * @param random random source
	 */
	public ReconnectBackoff(Duration first, Duration maximum, RandomGenerator random) {
		this.first = first.toNanos();
		this.maximum = maximum.toNanos();
		this.random = Objects.requireNonNull(random, "random");
		this.ceiling = this.first;
	}

	/**
	 * Returns the delay after a failure, and doubles the upper bound of the next delay.
	 * @return delay in nanoseconds
	 */
	public long nextDelay() {
		long delay = 1 + this.random.nextLong(this.ceiling);
		this.ceiling = Math.min(this.maximum, this.ceiling * 2);
		return delay;
	}

	/**
	 * Resets the upper bound after a success.
	 */
	public void reset() {
		this.ceiling = this.first;
	}

}
