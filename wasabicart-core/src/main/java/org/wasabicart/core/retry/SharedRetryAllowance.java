package org.wasabicart.core.retry;

/**
 * Retry allowance with a single counter, from which both spending and reserving take. One
 * lock guards the counter and its reservations, so that no duplicate of a response is
 * ignored before the retries that the first response returned are available.
 */
final class SharedRetryAllowance implements RetryAllowance {

	private final Object lock = new Object();

	private int available;

	SharedRetryAllowance(int size) {
		if (size < 0) {
			throw new IllegalArgumentException("Retry allowance is negative: " + size);
		}
		this.available = size;
	}

	@Override
	public boolean tryToSpend() {
		synchronized (this.lock) {
			boolean spent = this.available > 0;
			this.available -= spent ? 1 : 0;
			return spent;
		}
	}

	@Override
	public Reservation reserve(int wanted) {
		if (wanted < 0) {
			throw new IllegalArgumentException("Reservation is negative: " + wanted);
		}
		synchronized (this.lock) {
			int size = Math.min(this.available, wanted);
			this.available -= size;
			return new CounterReservation(size);
		}
	}

	@Override
	public int available() {
		synchronized (this.lock) {
			return this.available;
		}
	}

	private final class CounterReservation implements Reservation {

		private final int size;

		private boolean returned;

		private CounterReservation(int size) {
			this.size = size;
		}

		@Override
		public int size() {
			return this.size;
		}

		@Override
		public void returnUnspent(int unspent) {
			SharedRetryAllowance allowance = SharedRetryAllowance.this;
			synchronized (allowance.lock) {
				if (!this.returned) {
					this.returned = true;
					allowance.available += Math.max(0, Math.min(unspent, this.size));
				}
			}
		}

	}

}
