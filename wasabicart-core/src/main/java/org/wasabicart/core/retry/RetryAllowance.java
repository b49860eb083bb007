package org.wasabicart.core.retry;

/**
 * Attempts beyond the first that the subtree of one call may still use. A part is
 * reserved for each downstream call and the unspent part comes back with its answer; a
 * lost answer counts as all spent. Implementations are safe for use by several threads.
 */
public interface RetryAllowance {

	/**
	 * Takes one retry from what is neither spent nor reserved.
	 * @return whether there was one
	 */
	boolean tryToSpend();

	/**
	 * Reserves a part for a downstream call.
	 * @param wanted most retries wanted
	 * @return the reservation, which may be smaller than wanted or empty
	 */
	Reservation reserve(int wanted);

	/**
	 * Returns what is neither spent nor reserved.
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
		 * Gives back the unspent part. Later invocations have no effect, so that a late
		 * or duplicated answer returns nothing.
		 * @param unspent retries that the downstream call did not use; values above the
		 * size count as the size
		 */
		void giveBack(int unspent);

	}

}
