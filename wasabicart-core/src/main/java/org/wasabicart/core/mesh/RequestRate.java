package org.wasabicart.core.mesh;

import java.util.concurrent.TimeUnit;

/**
 * Rate of requests, averaged with weights that decay exponentially.
 */
final class RequestRate {

	/** Time in which the weight of a request falls by a factor of e. */
	static final double DECAY_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private static final double REQUESTS_PER_WEIGHT = TimeUnit.SECONDS.toNanos(1) / DECAY_NANOSECONDS;

	private double weight;

	private long updated;

	static double decay(long elapsedNanoseconds) {
		return Math.exp(-Math.max(0, elapsedNanoseconds) / DECAY_NANOSECONDS);
	}

	void record(long now) {
		decayTo(now);
		this.weight++;
	}

	double requestsPerSecond(long now) {
		decayTo(now);
		return this.weight * REQUESTS_PER_WEIGHT;
	}

	private void decayTo(long now) {
		if (this.weight > 0) {
			this.weight *= decay(now - this.updated);
		}
		this.updated = now;
	}

}
