package org.wasabicart.core.mesh;

import java.util.Objects;
import java.util.Optional;

/**
 * Load of a backend server, as reported by the node beside it.
 *
 * @param limit largest number of calls that run at the same time
 * @param running calls that hold a slot
 * @param waiting calls that wait for a slot or for the rate limit
 * @param rateLimit rate up to which the server accepts calls, or empty if it has not
 * responded to this node yet
 * @param requestRate calls per second that the server gets
 * @param leaving whether the server is leaving
 * @param downstreamLoad load of the most loaded service that the server's own calls use,
 * directly or through other services; 1 means that all of its slots are in use, 0 that
 * none is known
 */
public record MemberLoadReport(int limit, int running, int waiting, Optional<RateLimit> rateLimit, double requestRate,
		boolean leaving, double downstreamLoad) {

	public MemberLoadReport {
		Objects.requireNonNull(rateLimit, "rateLimit");
	}

	/**
	 * Returns the load of the server or of the most loaded service downstream of it.
	 * @return the higher one; 1 means that all slots are in use
	 */
	public double highestLoad() {
		return Math.max((double) (this.running + this.waiting) / this.limit, this.downstreamLoad);
	}

}
