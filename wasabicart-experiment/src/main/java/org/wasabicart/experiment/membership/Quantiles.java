package org.wasabicart.experiment.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Quantiles of small samples.
 */
final class Quantiles {

	private Quantiles() {
	}

	/**
	 * Returns the smallest value of the sample such that at least the given share of the
	 * sample is less than or equal to it.
	 * @param sample sample
	 * @param share share, above 0 and up to 1
	 * @return value, or {@code -1} for an empty sample
	 */
	static double of(List<Double> sample, double share) {
		if (sample.isEmpty()) {
			return -1;
		}
		List<Double> sorted = new ArrayList<>(sample);
		Collections.sort(sorted);
		return sorted.get((int) Math.ceil(share * sorted.size()) - 1);
	}

}
