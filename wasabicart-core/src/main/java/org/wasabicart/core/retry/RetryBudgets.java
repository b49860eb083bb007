package org.wasabicart.core.retry;

import java.util.function.DoubleSupplier;

/**
 * Creates retry budgets. A node keeps one for each service that it calls.
 */
public final class RetryBudgets {

	/** Retries that a new budget holds, and the most that it saves up. */
	public static final int DEFAULT_CAPACITY = 10;

	private static final RetryBudget UNLIMITED = new RetryBudget() {

		@Override
		public void earn() {
			// An unlimited budget keeps no balance.
		}

		@Override
		public boolean tryToSpend() {
			return true;
		}

	};

	private RetryBudgets() {
	}

	/**
	 * Creates a budget that starts with {@link #DEFAULT_CAPACITY} retries.
	 * @param ratio retries earned by each success, read at each success so that a new
	 * configuration takes effect at once
	 * @return the budget
	 */
	public static RetryBudget earned(DoubleSupplier ratio) {
		return new TokenRetryBudget(ratio, DEFAULT_CAPACITY);
	}

	/**
	 * Returns the baseline budget without a bound.
	 * @return the budget
	 */
	public static RetryBudget unlimited() {
		return UNLIMITED;
	}

}
