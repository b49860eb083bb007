package org.wasabicart.core.admission;

import org.wasabicart.core.model.Priority;

/**
 * Recent demand by priority, with exponential decay. Adding, reading and searching take
 * logarithmic time in the number of priorities: the weights are stored in a Fenwick tree
 * from the highest priority downwards, and decay is applied by giving newer calls a
 * higher weight (forward decay).
 */
final class DemandHistogram {

	/** Half-lives after which the weights are scaled down, to prevent overflow. */
	private static final double RESCALE_HALF_LIVES = 500;

	/** Weights below this are set to zero when they are scaled down. */
	private static final double NEGLIGIBLE_WEIGHT = 1e-200;

	private static final int LARGEST_STEP = Integer.highestOneBit(Priority.LEVELS);

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private final double halfLifeNanoseconds;

	private final double[] tree = new double[Priority.LEVELS + 1];

	/** Time at which an added call has a weight of 1. */
	private long landmark;

	/**
	 * Creates a histogram.
	 * @param halfLifeNanoseconds time after which a call counts as half a call
	 * @param now the ticker's time
	 */
	DemandHistogram(long halfLifeNanoseconds, long now) {
		this.halfLifeNanoseconds = halfLifeNanoseconds;
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
		return sum / weightPerCallRate(now);
	}

	/**
	 * Returns the lowest priority at or above which the demand does not exceed a rate.
	 * @param callsPerSecond highest demand
	 * @param now the ticker's time
	 * @return the lowest priority, 0 if all demand fits
	 */
	int lowestPriority(double callsPerSecond, long now) {
		double remainingWeight = callsPerSecond * weightPerCallRate(now);
		int index = 0;
		for (int step = LARGEST_STEP; step > 0; step >>= 1) {
			int next = index + step;
			if (next <= Priority.LEVELS && this.tree[next] <= remainingWeight) {
				remainingWeight -= this.tree[next];
				index = next;
			}
		}
		return Priority.LEVELS - index;
	}

	// Total weight to which a constant demand of one call per second converges.
	private double weightPerCallRate(long now) {
		return weight(now) * this.halfLifeNanoseconds / Math.log(2) / NANOSECONDS_PER_SECOND;
	}

	private double weight(long now) {
		double halfLives = (now - this.landmark) / this.halfLifeNanoseconds;
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
			this.tree[index] = (scaled < NEGLIGIBLE_WEIGHT) ? 0 : scaled;
		}
	}

}
