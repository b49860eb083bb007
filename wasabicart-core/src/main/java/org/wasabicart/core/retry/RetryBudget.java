package org.wasabicart.core.retry;

/**
 * Retries that one node may send to one service, earned as a fraction of its successes.
 * Implementations are safe for use by several threads, and the balance is never negative.
 */
public interface RetryBudget {

	/**
	 * Adds the fraction of one success.
	 */
	void earn();

	/**
	 * Takes one retry.
	 * @return whether the budget had one
	 */
	boolean tryToSpend();

}
