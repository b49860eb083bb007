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
 */
public record MemberLoadReport(int limit, int running, int waiting, Optional<RateLimit> rateLimit, double requestRate,
		boolean leaving) {

	public MemberLoadReport {
		Objects.requireNonNull(rateLimit, "rateLimit");
	}

}
