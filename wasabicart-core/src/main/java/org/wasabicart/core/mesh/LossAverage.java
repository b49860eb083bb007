package org.wasabicart.core.mesh;

import java.util.concurrent.TimeUnit;

/**
 * Share of a route's last requests that were lost. It fades without new losses, since a
 * route that is let through rarely would be judged by requests of an outage that is over.
 */
final class LossAverage {

	/** Weight of the newest request: about the last 50 requests. */
	private static final double WEIGHT = 0.02;

	/** Time after which losses say nothing of the present. */
	private static final long MEMORY = TimeUnit.MILLISECONDS.toNanos(1500);

	/** Time in which the share falls to a third without losses. */
	private static final double DECAY = TimeUnit.SECONDS.toNanos(1);

	private double share;

	private long lastLoss;

	private boolean known;

	void record(boolean lost, long now) {
		this.share += WEIGHT * ((lost ? 1 : 0) - this.share);
		if (lost) {
			this.lastLoss = now;
			this.known = true;
		}
	}

	/**
	 * A time has passed without losses.
	 * @param elapsed time in nanoseconds
	 */
	void fade(long elapsed) {
		this.share *= Math.exp(-elapsed / DECAY);
	}

	double share() {
		return this.share;
	}

	boolean recent(long now) {
		return this.known && now - this.lastLoss < MEMORY;
	}

}
