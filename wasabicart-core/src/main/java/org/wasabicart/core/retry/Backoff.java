package org.wasabicart.core.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the delay is uniform between zero and a bound
 * that doubles with each retry. Safe for use by several threads if the random source is.
 */
public final class Backoff {

	/** Bound on the delay before the first retry. */
	public static final Duration DEFAULT_BASE = Duration.ofMillis(10);

	/** Bound on any delay. */
	public static final Duration DEFAULT_MAXIMUM = Duration.ofMillis(500);

	/** Bound on the doublings, so that the factor does not overflow. */
	private static final int MAXIMUM_DOUBLINGS = 30;

	private final long base;

	private final long maximum;

	private final RandomGenerator random;

	/**
	 * Creates a backoff with the default bounds.
	 * @param random random source
	 */
	public Backoff(RandomGenerator random) {
		this(DEFAULT_BASE, DEFAULT_MAXIMUM, random);
	}

	/**
	 * Creates a backoff.
	 * @param base bound on the delay before the first retry
	 * @param maximum bound on any delay
	 * @param random random source
	 */
	public Backoff(Duration base, Duration maximum, RandomGenerator random) {
		if (base.isNegative() || base.isZero() || maximum.compareTo(base) < 0) {
			throw new IllegalArgumentException("base must be positive and not above maximum: " + base + ", " + maximum);
		}
		this.base = base.toNanos();
		this.maximum = maximum.toNanos();
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Chooses the delay before a retry.
	 * @param retry number of the retry, 1 for the first one
	 * @param remainingNanoseconds time left until the deadline of the call
	 * @return delay in nanoseconds, or empty if the retry would not start before the
	 * deadline
	 */
	public OptionalLong delay(int retry, long remainingNanoseconds) {
		if (retry < 1) {
			throw new IllegalArgumentException("Retry must be positive: " + retry);
		}
		long factor = 1L << Math.min(retry - 1, MAXIMUM_DOUBLINGS);
		long bound = (this.base > this.maximum / factor) ? this.maximum : this.base * factor;
		long delay = this.random.nextLong(bound + 1);
		return (delay < remainingNanoseconds) ? OptionalLong.of(delay) : OptionalLong.empty();
	}

}
