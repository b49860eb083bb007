package org.wasabicart.core.admission;

import org.wasabicart.core.model.Priority;

/**
 * Demand of the recent past by priority, with exponential decay. Adding, reading and
 * searching take time logarithmic in the number of priorities: the counts are in a
 * Fenwick tree from the highest priority downwards, and decay is applied by giving newer
 * calls a higher weight.
 */
final class DemandHistogram {

	/** Half-lives after which the weights are scaled down to stay within range. */
	private static final double RESCALE_HALF_LIVES = 500;

	private static final double NEGLIGIBLE = 1e-200;

	private static final int TOP_STEP = Integer.highestOneBit(Priority.LEVELS);

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private final double halfLife;

	private final double[] tree = new double[Priority.LEVELS + 1];

	private long landmark;

	/**
	 * Creates a histogram.
	 * @param halfLifeNanoseconds time after which a call counts half
	 * @param now the ticker's time
	 */
	DemandHistogram(long halfLifeNanoseconds, long now) {
		this.halfLife = halfLifeNanoseconds;
		this.landmark = now;
	}

	void add(int priority, long now) {
		double weight = weight(now);
		for (int index = Priority.LEVELS - priority; index <= Priority.LEVELS; index += index & -index) {
			this.tree[index] += weight;
		}
	}

	/**
	 * Returns the demand at or above a priority.
	 * @param priority lowest priority that counts
	 * @param now the ticker's time
	 * @return calls per second
	 */
	double demand(int priority, long now) {
		double sum = 0;
		for (int index = Priority.LEVELS - priority; index > 0; index -= index & -index) {
			sum += this.tree[index];
		}
		return sum / callsPerRate(now);
	}

	/**
	 * Returns the lowest priority down to which the demand fits.
	 * @param callsPerSecond demand that fits
	 * @param now the ticker's time
	 * @return the lowest priority, 0 if all demand fits
	 */
	int lowestPriority(double callsPerSecond, long now) {
		double left = callsPerSecond * callsPerRate(now);
		int index = 0;
		for (int step = TOP_STEP; step > 0; step >>= 1) {
			int next = index + step;
			if (next <= Priority.LEVELS && this.tree[next] <= left) {
				left -= this.tree[next];
				index = next;
			}
		}
		return Priority.LEVELS - index;
	}

	// Weight that a constant demand of one call per second adds up to.
	private double callsPerRate(long now) {
		return weight(now) * this.halfLife / Math.log(2) / NANOSECONDS_PER_SECOND;
	}

	private double weight(long now) {
		double halfLives = (now - this.landmark) / this.halfLife;
		if (halfLives > RESCALE_HALF_LIVES) {
			rescale(halfLives);
			this.landmark = now;
			return 1;
		}
		return Math.pow(2, halfLives);
	}

	private void rescale(double halfLives) {
		double factor = Math.pow(0.5, halfLives);
		for (int index = 0; index < this.tree.length; index++) {
			double scaled = this.tree[index] * factor;
			this.tree[index] = (scaled < NEGLIGIBLE) ? 0 : scaled;
		}
	}

}
