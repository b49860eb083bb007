package org.wasabicart.core.mesh;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Chooses when a refused caller should come back. Answers callers that are refused
 * together: they return spread over a time in which an answer is still within the target
 * latency.
 */
public final class ReturnTimes {

	/** Earliest return as a part of the target latency: a slot is free by then. */
	static final double EARLIEST = 0.15;

	/** Latest return as a part of the target latency: half of it is left for the work. */
	static final double LATEST = 0.5;

	/** Stands in for a target latency that is not stated. */
	private static final Duration DEFAULT_TARGET = Duration.ofSeconds(1);

	private final RandomGenerator random;

	/**
	 * Creates the choice.
	 * @param random random source
	 */
	public ReturnTimes(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Chooses the time for one caller.
	 * @param route route of the request, or null if it is not known
	 * @return the time until the caller should come back
	 */
	public Duration next(MeshRoute route) {
		Duration target = (route != null) ? route.targetLatency().orElse(DEFAULT_TARGET) : DEFAULT_TARGET;
		return Duration.ofNanos((long) (target.toNanos() * this.random.nextDouble(EARLIEST, LATEST)));
	}

}
