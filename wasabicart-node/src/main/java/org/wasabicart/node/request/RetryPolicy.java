package org.wasabicart.node.request;

import java.util.OptionalLong;

import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.node.peer.CallRequest;

/**
 * Decides whether and when one hop retries a call.
 */
public interface RetryPolicy {

	/**
	 * Creates the retry allowance of one call at this hop.
	 * @param request call
	 * @return the allowance
	 */
	RetryAllowance allowance(CallRequest request);

	/**
	 * Returns the number of retries to reserve for the serving node.
	 * @param service service to call
	 * @param available number of retries that are neither spent nor reserved
	 * @return number of retries
	 */
	int retriesToReserve(ServiceName service, int available);

	/**
	 * Decides whether to retry after a failed attempt, and spends the retry if so.
	 * @param request call
	 * @param outcome outcome of the attempt
	 * @param allowance retry allowance of the call at this hop
	 * @return whether to retry
	 */
	boolean tryToRetry(CallRequest request, Outcome outcome, RetryAllowance allowance);

	/**
	 * Returns the delay before the next attempt.
	 * @param retry number of the retry, 1 for the first one
	 * @param remainingNanoseconds time left until the deadline of the call
	 * @return delay in nanoseconds, or empty if the retry would not start before the
	 * deadline
	 */
	OptionalLong backoff(int retry, long remainingNanoseconds);

	/**
	 * Reports that a call was completed.
	 * @param service service that was called
	 */
	void succeeded(ServiceName service);

}
