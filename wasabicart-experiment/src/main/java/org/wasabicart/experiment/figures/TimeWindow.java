package org.wasabicart.experiment.figures;

/**
 * Interval of a load, relative to its start.
 *
 * @param fromSeconds start, inclusive
 * @param toSeconds end, exclusive
 */
public record TimeWindow(double fromSeconds, double toSeconds) {

	/**
	 * Returns the length.
	 * @return the seconds
	 */
	public double seconds() {
		return this.toSeconds - this.fromSeconds;
	}

	boolean contains(double seconds) {
		return seconds >= this.fromSeconds && seconds < this.toSeconds;
	}

}
