package org.wasabicart.core.retry;

/**
 * Creates retry allowances.
 * <p>
 * Example: <pre>{@code
 * RetryAllowance allowance = RetryAllowances.bounded(context.retryAllowance());
 * RetryAllowance.Reservation part = allowance.reserve(allowance.available());
 * // send the call with part.size(); when its response arrives:
 * part.returnUnspent(response.unspentRetryAllowance());
 * }</pre>
 */
public final class RetryAllowances {

	private RetryAllowances() {
	}

	/**
	 * Creates an allowance that bounds the attempts of the whole subtree.
	 * @param size attempts beyond the first, zero or higher
	 * @return the allowance
	 */
	public static RetryAllowance bounded(int size) {
		return new SharedRetryAllowance(size);
	}

	/**
	 * Creates the baseline allowance, which has a fixed number of retries at each hop and
	 * no bound across hops.
	 * @param retriesPerHop attempts beyond the first at each hop, zero or higher
	 * @return the allowance
	 */
	public static RetryAllowance perHop(int retriesPerHop) {
		return new PerHopRetryAllowance(retriesPerHop);
	}

}
