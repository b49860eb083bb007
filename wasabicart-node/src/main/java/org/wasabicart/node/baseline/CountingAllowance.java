package org.wasabicart.node.baseline;

import org.wasabicart.core.retry.RetryAllowance;

/**
 * Retry allowance that counts what is available.
 */
public final class CountingAllowance implements RetryAllowance {

	private int available;

	/**
	 * Creates an allowance.
	 * @param size number of retries
	 */
	public CountingAllowance(int size) {
		this.available = size;
	}

	@Override
	public synchronized boolean tryToSpend() {
		if (this.available == 0) {
			return false;
		}
		this.available--;
		return true;
	}

	@Override
	public synchronized Reservation reserve(int wanted) {
		int size = Math.min(Math.max(wanted, 0), this.available);
		this.available -= size;
		return new Part(size);
	}

	@Override
	public synchronized int available() {
		return this.available;
	}

	private final class Part implements Reservation {

		private final int size;

		private boolean returned;

		Part(int size) {
			this.size = size;
		}

		@Override
		public int size() {
			return this.size;
		}

		@Override
		public void giveBack(int unspent) {
			synchronized (CountingAllowance.this) {
				if (!this.returned) {
					this.returned = true;
					CountingAllowance.this.available += Math.max(0, Math.min(unspent, this.size));
				}
			}
		}

	}

}
