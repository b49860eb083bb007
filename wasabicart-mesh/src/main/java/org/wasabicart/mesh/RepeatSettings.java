package org.wasabicart.mesh;

/**
 * Limit on repeated sends, which holds for each service across all nodes.
 *
 * @param ratio limit on the repeated sends of all requests of a service, as a share of
 * these requests, from 0 to 1
 * @param early whether requests that take far longer than expected are sent to a second
 * server before they have failed
 */
public record RepeatSettings(double ratio, boolean early) {

	public RepeatSettings {
		if (!(ratio >= 0 && ratio <= 1)) {
			throw new IllegalArgumentException("Repeat ratio is not between 0 and 1: " + ratio);
		}
	}

	/**
	 * Creates settings with repeats after failures only.
	 * @param ratio limit on the repeated sends of all requests of a service, as a share
	 * of these requests, from 0 to 1
	 */
	public RepeatSettings(double ratio) {
		this(ratio, false);
	}

}
