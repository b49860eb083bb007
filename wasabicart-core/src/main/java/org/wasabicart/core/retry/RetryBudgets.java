package org.wasabicart.core.retry;

import java.util.function.DoubleSupplier;

/**
 * Creates retry budgets. A node keeps one for each service that it calls.
 */
public final class RetryBudgets {

	/** Retries in a new budget, which are also the most that a budget holds. */
	public static final int DEFAULT_CAPACITY = 10;

	private static final RetryBudget UNLIMITED = new RetryBudget() {

		@Override
		public void earn() {
			// An unlimited budget has no balance.
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
	 * Returns the baseline budget, which allows every retry.
	 * @return the budget
	 */
	public static RetryBudget unlimited() {
		return UNLIMITED;
	}

}
