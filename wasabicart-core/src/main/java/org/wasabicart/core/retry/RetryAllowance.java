package org.wasabicart.core.retry;

/**
 * Attempts beyond the first that the subtree of one call may still use. A part is
 * reserved for each downstream call, and its answer returns what it did not spend; if the
 * answer is lost, the whole part counts as spent. Implementations are safe for use by
 * several threads.
 */
public interface RetryAllowance {

	/**
	 * Spends one retry that is neither spent nor reserved.
	 * @return whether one was available
	 */
	boolean tryToSpend();

	/**
	 * Reserves a part for a downstream call.
	 * @param wanted most retries wanted
	 * @return the reservation, which may be smaller than wanted or empty
	 */
	Reservation reserve(int wanted);

	/**
	 * Returns the number of retries that are neither spent nor reserved.
	 * @return number of retries
	 */
	int available();

	/**
	 * Part of the allowance that a downstream call may use.
	 */
	interface Reservation {

		/**
		 * Returns the size of the part.
		 * @return number of retries
		 */
		int size();

		/**
		 * Returns the unspent retries to the allowance. Only the first invocation has an
		 * effect, so that a late or duplicated answer returns nothing more.
		 * @param unspent retries that the downstream call did not use; values above the
		 * size count as the size
		 */
		void returnUnspent(int unspent);

	}

}
