package org.wasabicart.experiment.membership;

import java.util.function.BiPredicate;

/**
 * Simulated network faults. Mutable, so that an experiment can change them while it runs.
 */
final class NetworkConditions {

	private double loss;

	private BiPredicate<Integer, Integer> cut = (from, to) -> false;

	double loss() {
		return this.loss;
	}

	void loss(double share) {
		this.loss = share;
	}

	boolean isCut(int from, int to) {
		return this.cut.test(from, to);
	}

	/**
	 * Blocks the traffic between nodes, separately in each direction.
	 * @param predicate tests the indexes of the sender and the receiver; {@code true}
	 * blocks that direction
	 */
	void cut(BiPredicate<Integer, Integer> predicate) {
		this.cut = predicate;
	}

	void heal() {
		this.cut = (from, to) -> false;
	}

}
