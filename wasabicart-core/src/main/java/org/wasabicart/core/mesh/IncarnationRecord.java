package org.wasabicart.core.mesh;

import java.util.Objects;
import java.util.Optional;

/**
 * What a node has learned about one incarnation of a backend server from its responses.
 */
public final class IncarnationRecord {

	private RateLimit rateLimit;

	/**
	 * Records the limit that the server has named last.
	 * @param limit limit
	 */
	public void rateLimit(RateLimit limit) {
		this.rateLimit = Objects.requireNonNull(limit, "limit");
	}

	/**
	 * Returns the limit that the server has named last.
	 * @return the limit, or empty if no response of the server is known
	 */
	public Optional<RateLimit> rateLimit() {
		return Optional.ofNullable(this.rateLimit);
	}

}
