package org.wasabicart.core.capacity;

import java.util.concurrent.TimeUnit;

import org.wasabicart.core.mesh.MemberStatus;

/**
 * Expected times of the servers of one service, as they were reported.
 */
public final class ServiceTimes {

	/** Age from which a report counts less and less. */
	static final long FRESH_TIME = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Time in which the weight of an older report falls to a third. Longer than most slow
	 * phases: a server that recovers says so.
	 */
	private static final double FADE_TIME = TimeUnit.SECONDS.toNanos(10);

	private ServiceTimes() {
	}

	/**
	 * Returns the expected time of a call at a typical server: the mean of the speeds. A
	 * minority of very slow servers hardly changes it.
	 * @param members servers of the service
	 * @param now current time in nanoseconds
	 * @return the time in nanoseconds, 0 if none is known
	 */
	public static double typical(Iterable<MemberStatus> members, long now) {
		double speeds = 0;
		double weights = 0;
		for (MemberStatus member : members) {
			if (member.serviceTime() > 0) {
				double weight = weight(member.reportAge(now));
				weights += weight;
				speeds += weight / member.serviceTime();
			}
		}
		return (speeds > 0) ? weights / speeds : 0;
	}

	/**
	 * Returns how much a report counts.
	 * @param age age in nanoseconds
	 * @return 1 for a fresh report, towards 0 for old ones
	 */
	static double weight(long age) {
		return (age <= FRESH_TIME) ? 1 : Math.exp((FRESH_TIME - age) / FADE_TIME);
	}

}
