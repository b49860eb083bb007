package org.wasabicart.core.mesh;

import java.util.concurrent.TimeUnit;

/**
 * Moving average of the share of a route's requests that were lost. It also decays with
 * time while there are no losses: otherwise a route with few admitted requests would be
 * throttled because of an outage that is over.
 */
final class LossAverage {

	/** Weight of the newest request; averages over about the last 50 requests. */
	private static final double WEIGHT = 0.02;

	/** Time after which a loss no longer reflects the present load. */
	private static final long RECENT_LOSS = TimeUnit.MILLISECONDS.toNanos(1500);

	/** Time in nanoseconds in which the share falls to about a third without losses. */
	private static final double DECAY_TIME = TimeUnit.SECONDS.toNanos(1);

	private double share;

	private long lastLoss;

	private boolean lossRecorded;

	void record(boolean lost, long now) {
		this.share += WEIGHT * ((lost ? 1 : 0) - this.share);
		if (lost) {
			this.lastLoss = now;
			this.lossRecorded = true;
		}
	}

	/**
	 * Lowers the share after a time without losses.
	 * @param elapsed time in nanoseconds
	 */
	void decay(long elapsed) {
		this.share *= Math.exp(-elapsed / DECAY_TIME);
	}

	double share() {
		return this.share;
	}

	boolean hasRecentLoss(long now) {
		return this.lossRecorded && now - this.lastLoss < RECENT_LOSS;
	}

}
