package org.wasabicart.core.retry;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Plain retries per hop, as a baseline for comparison: each downstream call gets the
 * whole number again, so that attempts multiply with the depth of the call tree.
 */
final class PerHopRetryAllowance implements RetryAllowance {

	private final int retriesPerHop;

	private final AtomicInteger left;

	PerHopRetryAllowance(int retriesPerHop) {
		if (retriesPerHop < 0) {
			throw new IllegalArgumentException("Retries per hop are negative: " + retriesPerHop);
		}
		this.retriesPerHop = retriesPerHop;
		this.left = new AtomicInteger(retriesPerHop);
	}

	@Override
	public boolean tryToSpend() {
		return this.left.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

	@Override
	public Reservation reserve(int wanted) {
		return new Reservation() {

			@Override
			public int size() {
				return PerHopRetryAllowance.this.retriesPerHop;
			}

			@Override
			public void giveBack(int unspent) {
				// Nothing was taken.
			}

		};
	}

	@Override
	public int available() {
		return this.left.get();
	}

}
