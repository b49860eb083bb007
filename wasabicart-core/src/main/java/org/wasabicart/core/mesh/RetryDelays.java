package org.wasabicart.core.mesh;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Chooses the delay after which a refused caller should retry. Callers that are refused
 * together are spread over an interval in which an answer is still within the target
 * latency.
 */
public final class RetryDelays {

	/**
	 * Shortest delay as a share of the target latency, so that a slot can become free.
	 */
	static final double MINIMUM_LATENCY_SHARE = 0.15;

	/**
	 * Longest delay as a share of the target latency: half of it is left for the work.
	 */
	static final double MAXIMUM_LATENCY_SHARE = 0.5;

	/** Target latency of routes that set none. */
	private static final Duration DEFAULT_TARGET_LATENCY = Duration.ofSeconds(1);

	private final RandomGenerator random;

	/**
	 * Creates a source of retry delays.
	 * @param random random source
	 */
	public RetryDelays(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Chooses the delay for one caller.
	 * @param route route of the request, or null if it is not known
	 * @return the delay until the caller should retry
	 */
	public Duration next(MeshRoute route) {
		Duration targetLatency = (route != null) ? route.targetLatency().orElse(DEFAULT_TARGET_LATENCY)
				: DEFAULT_TARGET_LATENCY;
		return Duration.ofNanos((long) (targetLatency.toNanos()
				* this.random.nextDouble(MINIMUM_LATENCY_SHARE, MAXIMUM_LATENCY_SHARE)));
	}

}
