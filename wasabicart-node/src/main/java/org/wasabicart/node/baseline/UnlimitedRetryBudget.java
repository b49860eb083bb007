package org.wasabicart.node.baseline;

import org.wasabicart.core.retry.RetryBudget;

/**
 * Baseline for comparison: a budget that always has a retry.
 */
public final class UnlimitedRetryBudget implements RetryBudget {

	@Override
	public void earn() {
	}

	@Override
	public boolean tryToSpend() {
		return true;
	}

}
