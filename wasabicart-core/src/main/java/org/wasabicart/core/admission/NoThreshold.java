package org.wasabicart.core.admission;

/**
 * Admits every priority, as a baseline for comparison.
 */
final class NoThreshold implements ThresholdControl {

	@Override
	public void offered(int priority, long nowNanoseconds) {
		// The baseline observes nothing.
	}

	@Override
	public int update(ThresholdInput load) {
		return 0;
	}

	@Override
	public double loadRatio() {
		return 1;
	}

}
