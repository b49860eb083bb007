package org.wasabicart.experiment.partition;

import java.util.OptionalLong;

import org.wasabicart.experiment.figures.TimeWindow;
import org.wasabicart.standin.caller.LoadResult;

/**
 * A partition that took place.
 *
 * @param name name in the report
 * @param fromMicroseconds time since the epoch at which it was in force
 * @param toMicroseconds time at which healing began
 * @param endMicroseconds time at which the next partition or the end of the load followed
 * @param fewestMembers fewest members that a node listed until then
 * @param membersMicroseconds time from which all nodes listed all members, or empty if
 * some did not
 */
record Cut(String name, long fromMicroseconds, long toMicroseconds, long endMicroseconds, int fewestMembers,
		OptionalLong membersMicroseconds) {

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
