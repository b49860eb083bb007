package org.wasabicart.experiment.figures;

/**
 * Part of a run's time.
 *
 * @param fromSeconds start, after the start of the load
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
