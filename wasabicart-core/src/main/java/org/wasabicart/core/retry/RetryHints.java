package org.wasabicart.core.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;

/**
 * Creates refusals with a hint when to retry. Each hint is uniform between half the mean
 * and one and a half times the mean, so that callers refused together do not retry
 * together. Safe for use by several threads if the random source is.
 */
public final class RetryHints {

	/** Mean hint when demand equals capacity; grows in proportion to the demand. */
	static final Duration OVERLOADED_MEAN = Duration.ofMillis(250);

	/** Mean hint when another server can probably take the call at once. */
	static final Duration OTHER_SERVER_MEAN = Duration.ofMillis(20);

	/** Mean hint when no backend server or store is available. */
	static final Duration UNAVAILABLE_MEAN = Duration.ofSeconds(1);

	/** Upper bound on the mean hint at any load. */
	static final Duration MAXIMUM_MEAN = Duration.ofSeconds(4);

	private final RandomGenerator random;

	/**
	 * Creates a source of refusals.
	 * @param random random source
	 */
	public RetryHints(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Creates a refusal with a hint.
	 * @param reason reason of the refusal
	 * @param loadRatio demand divided by capacity; 1 when it is not known
	 * @return the refusal
	 */
	public Outcome.Refused refuse(RefusalReason reason, double loadRatio) {
		return new Outcome.Refused(reason, Duration.ofNanos(jitter(mean(reason, loadRatio))));
	}

	private static long mean(RefusalReason reason, double loadRatio) {
		return switch (reason) {
			case DRAINING, SHED, UNREACHABLE -> OTHER_SERVER_MEAN.toNanos();
			case NO_BACKEND_SERVER, STORE_UNAVAILABLE -> UNAVAILABLE_MEAN.toNanos();
			default -> {
				double factor = Math.max(1, loadRatio);
				yield (long) Math.min(MAXIMUM_MEAN.toNanos(), OVERLOADED_MEAN.toNanos() * factor);
			}
		};
	}

	private long jitter(long mean) {
		return mean / 2 + this.random.nextLong(mean + 1);
	}

}
