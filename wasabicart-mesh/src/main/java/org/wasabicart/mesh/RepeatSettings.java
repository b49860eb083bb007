package org.wasabicart.mesh;

/**
 * Bounds on repeated sends that hold for each service over all nodes together.
 *
 * @param ratio repeats as a share of the requests
 */
public record RepeatSettings(double ratio) {

	public RepeatSettings {
		if (!(ratio >= 0 && ratio <= 1)) {
			throw new IllegalArgumentException("Ratio of repeats is not between 0 and 1: " + ratio);
		}
	}

}
