package org.wasabicart.experiment.partition;

import java.util.OptionalLong;

import org.wasabicart.experiment.figures.TimeWindow;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Network partition that an experiment produced, and the recovery after it.
 *
 * @param name name in the report
 * @param fromMicroseconds time at which it was in force, since the epoch
 * @param toMicroseconds time at which healing began
 * @param endMicroseconds time at which the observation of the recovery ended; the next
 * partition or the end of the load follows
 * @param fewestMembersListed fewest members that any node listed from the start of the
 * partition until the end of the observation
 * @param allMembersListedMicroseconds time from which all nodes listed all members, or
 * empty if some did not
 */
record NetworkPartition(String name, long fromMicroseconds, long toMicroseconds, long endMicroseconds,
		int fewestMembersListed, OptionalLong allMembersListedMicroseconds) {

	private static final double MICROSECONDS_PER_SECOND = 1e6;

	boolean contains(long microseconds) {
		return microseconds >= this.fromMicroseconds && microseconds < this.toMicroseconds;
	}

	TimeWindow window(LoadResult result) {
		return new TimeWindow(seconds(this.fromMicroseconds, result), seconds(this.toMicroseconds, result));
	}

	double endSeconds(LoadResult result) {
		return seconds(this.endMicroseconds, result);
	}

	private static double seconds(long microseconds, LoadResult result) {
		return (microseconds - result.startMicroseconds()) / MICROSECONDS_PER_SECOND;
	}

}
