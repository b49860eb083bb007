package org.wasabicart.core.retry;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Retry allowance in a single counter, from which spending and reservations both take.
 */
final class SharedRetryAllowance implements RetryAllowance {

	private final AtomicInteger available;

	SharedRetryAllowance(int size) {
		if (size < 0) {
			throw new IllegalArgumentException("Retry allowance is negative: " + size);
		}
		this.available = new AtomicInteger(size);
	}

	@Override
	public boolean tryToSpend() {
		return take(1) == 1;
	}

	@Override
	public Reservation reserve(int wanted) {
		if (wanted < 0) {
			throw new IllegalArgumentException("Reservation is negative: " + wanted);
		}
		return new Part(take(wanted));
	}

	@Override
	public int available() {
		return this.available.get();
	}

	private int take(int wanted) {
		while (true) {
			int current = this.available.get();
			int taken = Math.min(current, wanted);
			if (this.available.compareAndSet(current, current - taken)) {
				return taken;
			}
		}
	}

	private final class Part implements Reservation {

		private final int size;

		/** What may still come back; taken once, so that a duplicate returns nothing. */
		private final AtomicInteger outstanding;

		private Part(int size) {
			this.size = size;
			this.outstanding = new AtomicInteger(size);
		}

		@Override
		public int size() {
			return this.size;
		}

		@Override
		public void giveBack(int unspent) {
			int reserved = this.outstanding.getAndSet(0);
			int returned = Math.max(0, Math.min(unspent, reserved));
			if (returned > 0) {
				SharedRetryAllowance.this.available.addAndGet(returned);
			}
		}

	}

}
