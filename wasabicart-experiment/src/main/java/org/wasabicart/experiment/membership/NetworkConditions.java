package org.wasabicart.experiment.membership;

import java.util.function.BiPredicate;

/**
 * Faults of the network. Mutable, so that an experiment changes them while it runs.
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
	 * Cuts directions between nodes.
	 * @param predicate tests the index of the sender and that of the receiver
	 */
	void cut(BiPredicate<Integer, Integer> predicate) {
		this.cut = predicate;
	}

	void heal() {
		this.cut = (from, to) -> false;
	}

}
