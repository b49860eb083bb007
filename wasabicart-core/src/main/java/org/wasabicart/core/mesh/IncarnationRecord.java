package org.wasabicart.core.mesh;

import java.util.Objects;
import java.util.Optional;

/**
 * What a node has learned about one incarnation of a backend server from its responses
 * and announcements.
 */
public final class IncarnationRecord {

	private RateLimit rateLimit;

	private boolean leaving;

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

	/**
	 * Records that the server is leaving, which cannot be revoked: an announcement to the
	 * contrary was delayed, or comes from a node that has restarted since.
	 */
	public void markLeaving() {
		this.leaving = true;
	}

	/**
	 * Returns whether the server has stated that it is leaving.
	 * @return whether it takes no new work
	 */
	public boolean leaving() {
		return this.leaving;
	}

}
