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
 * @param learnedLimit calls that the server was found to run well at the same time, 0 if
 * not learned
 * @param speed speed relative to a typical server of the service, 0 if not learned
 * @param serviceTime expected time for which a call holds a slot, in nanoseconds, 0 if
 * not learned
 * @param meanUsed recent mean of the calls that run or wait, meaningful only if the
 * service time is known
 */
public record MemberLoadReport(int limit, int running, int waiting, Optional<RateLimit> rateLimit, double requestRate,
		boolean leaving, int learnedLimit, double speed, long serviceTime, double meanUsed) {

	public MemberLoadReport {
		Objects.requireNonNull(rateLimit, "rateLimit");
	}

	/**
	 * Creates a report of a server whose capacity has not been learned.
	 * @param limit largest number of calls that run at the same time
	 * @param running calls that hold a slot
	 * @param waiting calls that wait for a slot or for the rate limit
	 * @param rateLimit rate up to which the server accepts calls, or empty if it has not
	 * responded to this node yet
	 * @param requestRate calls per second that the server gets
	 * @param leaving whether the server is leaving
	 */
	public MemberLoadReport(int limit, int running, int waiting, Optional<RateLimit> rateLimit, double requestRate,
			boolean leaving) {
		this(limit, running, waiting, rateLimit, requestRate, leaving, 0, 0, 0, 0);
	}

}
