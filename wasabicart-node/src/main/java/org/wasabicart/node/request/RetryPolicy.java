package org.wasabicart.node.request;

import java.util.OptionalLong;

import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.node.peer.CallRequest;

/**
 * Decides on the retries of one hop.
 */
public interface RetryPolicy {

	/**
	 * Creates the allowance of one call at this hop.
	 * @param request call
	 * @return the allowance
	 */
	RetryAllowance allowance(CallRequest request);

	/**
	 * Returns how much of the allowance to reserve for the serving node.
	 * @param service service to call
	 * @param available what is neither spent nor reserved
	 * @return number of retries
	 */
	int share(ServiceName service, int available);

	/**
	 * Decides whether a failed attempt is repeated, and spends what that takes.
	 * @param request call
	 * @param outcome outcome of the attempt
	 * @param allowance allowance of the call at this hop
	 * @return whether to send once more
	 */
	boolean spend(CallRequest request, Outcome outcome, RetryAllowance allowance);

	/**
	 * Returns the time to wait before the next attempt.
	 * @param retry number of the retry, from 1
	 * @param remainingNanoseconds time left until the deadline of the call
	 * @return nanoseconds, or empty if the retry would start after the deadline
	 */
	OptionalLong backoff(int retry, long remainingNanoseconds);

	/**
	 * Reports a completed call.
	 * @param service service that was called
	 */
	void succeeded(ServiceName service);

}
