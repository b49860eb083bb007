package org.wasabicart.core.allotment;

/**
 * Requests that a workspace may send through all nodes together.
 *
 * @param requestsPerSecond requests per second in the long run, infinite if unlimited
 * @param burst requests beyond the rate that may come together
 */
public record Allotment(double requestsPerSecond, double burst) {

	/** No limit. */
	public static final Allotment NONE = new Allotment(Double.POSITIVE_INFINITY, 0);

	public Allotment {
		if (!(requestsPerSecond >= 0)) {
			throw new IllegalArgumentException("Rate of an allotment is negative: " + requestsPerSecond);
		}
		if (!(burst >= 0)) {
			throw new IllegalArgumentException("Burst of an allotment is negative: " + burst);
		}
	}

	/**
	 * Returns whether requests are limited.
	 * @return whether there is a limit
	 */
	public boolean limited() {
		return this.requestsPerSecond != Double.POSITIVE_INFINITY;
	}

}
