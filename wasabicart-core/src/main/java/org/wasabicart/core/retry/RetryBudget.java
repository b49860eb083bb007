package org.wasabicart.core.retry;

/**
 * Retries that one node may send to one service, earned as a fraction of its successes.
 * Implementations are safe for use by several threads, and the balance is never negative.
 */
public interface RetryBudget {

	/**
	 * Adds the fraction of a retry that one success earns.
	 */
	void earn();

	/**
	 * Takes one retry.
	 * @return whether one was available
	 */
	boolean tryToSpend();

}
