package org.wasabicart.core.mesh;

/**
 * Limits how often one node sends requests of one service again. Each first send earns a
 * fraction of a repeat, so the repeats of all nodes together stay within the same
 * fraction of all requests without coordination. This keeps retries from multiplying the
 * load while a service fails part of its requests.
 */
public final class RepeatBudget {

	private final double earnedPerRequest;

	private final double maximum;

	private double tokens;

	/**
	 * Creates a budget that starts empty.
	 * @param earnedPerRequest repeats that each first send earns
	 * @param maximum largest number of unused repeats that are saved, at least 1
	 */
	public RepeatBudget(double earnedPerRequest, double maximum) {
		this.earnedPerRequest = earnedPerRequest;
		this.maximum = Math.max(1, maximum);
		this.tokens = 0;
	}

	/**
	 * Records the first send of a request.
	 */
	public void earn() {
		this.tokens = Math.min(this.maximum, this.tokens + this.earnedPerRequest);
	}

	/**
	 * Takes one repeat if one is available.
	 * @return whether the request may be sent again
	 */
	public boolean spend() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
