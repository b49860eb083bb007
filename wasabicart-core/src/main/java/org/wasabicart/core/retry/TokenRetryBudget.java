package org.wasabicart.core.retry;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;

/**
 * Retry budget that counts tokens of a millionth of a retry, so that small fractions add
 * up exactly.
 */
final class TokenRetryBudget implements RetryBudget {

	private static final long TOKENS_PER_RETRY = 1_000_000;

	private final DoubleSupplier ratio;

	private final long capacity;

	private final AtomicLong balance;

	TokenRetryBudget(DoubleSupplier ratio, int capacity) {
		if (capacity < 1) {
			throw new IllegalArgumentException("Capacity must be positive: " + capacity);
		}
		this.ratio = ratio;
		this.capacity = capacity * TOKENS_PER_RETRY;
		this.balance = new AtomicLong(this.capacity);
	}

	@Override
	public void earn() {
		long earned = (long) (Math.max(0, this.ratio.getAsDouble()) * TOKENS_PER_RETRY);
		this.balance.getAndUpdate((current) -> Math.min(this.capacity, current + earned));
	}

	@Override
	public boolean tryToSpend() {
		long before = this.balance
			.getAndUpdate((current) -> (current >= TOKENS_PER_RETRY) ? current - TOKENS_PER_RETRY : current);
		return before >= TOKENS_PER_RETRY;
	}

}
