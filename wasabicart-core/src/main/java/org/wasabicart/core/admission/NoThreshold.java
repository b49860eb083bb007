package org.wasabicart.core.admission;

/**
 * Threshold that admits every priority, for the baseline with a fixed limit.
 */
final class NoThreshold implements ThresholdControl {

	@Override
	public void offered(int priority, long nowNanoseconds) {
		// The threshold does not depend on the demand.
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
