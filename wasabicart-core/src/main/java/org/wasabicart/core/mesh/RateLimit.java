package org.wasabicart.core.mesh;

/**
 * Rate up to which a backend server accepts requests from all nodes together.
 *
 * @param requestsPerSecond rate; infinite if the server has no limit
 */
public record RateLimit(double requestsPerSecond) {

	/** No limit. */
	public static final RateLimit NONE = new RateLimit(Double.POSITIVE_INFINITY);

	public RateLimit {
		if (Double.isNaN(requestsPerSecond) || requestsPerSecond < 0) {
			throw new IllegalArgumentException("Not a valid rate limit: " + requestsPerSecond);
		}
	}

	/**
	 * Returns whether the rate is limited.
	 * @return whether it is finite
	 */
	public boolean limited() {
		return this.requestsPerSecond < Double.POSITIVE_INFINITY;
	}

}
