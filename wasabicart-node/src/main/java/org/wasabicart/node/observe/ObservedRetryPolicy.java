package org.wasabicart.node.observe;

import java.util.OptionalLong;

import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.request.RetryPolicy;

/**
 * Delegates to another policy and counts the retries that it allows.
 */
public final class ObservedRetryPolicy implements RetryPolicy {

	private final RetryPolicy policy;

	private final NodeMetrics metrics;

	/**
	 * Creates a policy.
	 * @param policy policy that decides
	 * @param metrics counts the retries
	 */
	public ObservedRetryPolicy(RetryPolicy policy, NodeMetrics metrics) {
		this.policy = policy;
		this.metrics = metrics;
	}

	@Override
	public RetryAllowance allowance(CallRequest request) {
		return this.policy.allowance(request);
	}

	@Override
	public int retriesToReserve(ServiceName service, int available) {
		return this.policy.retriesToReserve(service, available);
	}

	@Override
	public boolean tryToRetry(CallRequest request, Outcome outcome, RetryAllowance allowance) {
		boolean spent = this.policy.tryToRetry(request, outcome, allowance);
		if (spent) {
			this.metrics.recordRetry(request.service());
		}
		return spent;
	}

	@Override
	public OptionalLong backoff(int retry, long remainingNanoseconds) {
		return this.policy.backoff(retry, remainingNanoseconds);
	}

	@Override
	public void succeeded(ServiceName service) {
		this.policy.succeeded(service);
	}

}
