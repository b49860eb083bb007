package org.wasabicart.core.retry;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Fixed number of retries at each hop, as a baseline for comparison. Each downstream call
 * gets the whole number again, so that attempts multiply with the depth of the call tree.
 */
final class PerHopRetryAllowance implements RetryAllowance {

	private final int retriesPerHop;

	private final AtomicInteger remaining;

	PerHopRetryAllowance(int retriesPerHop) {
		if (retriesPerHop < 0) {
			throw new IllegalArgumentException("Retries per hop are negative: " + retriesPerHop);
		}
		this.retriesPerHop = retriesPerHop;
		this.remaining = new AtomicInteger(retriesPerHop);
	}

	@Override
	public boolean tryToSpend() {
		return this.remaining.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

	@Override
	public Reservation reserve(int wanted) {
		return new Reservation() {

			@Override
			public int size() {
				return PerHopRetryAllowance.this.retriesPerHop;
			}

			@Override
			public void returnUnspent(int unspent) {
				// The reservation took nothing from this hop.
			}

		};
	}

	@Override
	public int available() {
		return this.remaining.get();
	}

}
