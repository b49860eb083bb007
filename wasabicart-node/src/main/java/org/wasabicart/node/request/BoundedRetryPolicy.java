package org.wasabicart.node.request;

import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.retry.Backoff;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.core.retry.RetryBudget;
import org.wasabicart.node.ConfigurationHolder;
import org.wasabicart.node.peer.CallRequest;

/**
 * Retries only at the hop next to the failure, within the retry allowance of the root
 * request and the node's retry budget for the service, and delays each retry by a backoff
 * with full jitter.
 */
public final class BoundedRetryPolicy implements RetryPolicy {

	private final ConcurrentMap<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();

	private final ConfigurationHolder configuration;

	private final IntFunction<RetryAllowance> allowanceFactory;

	private final Function<ServiceName, RetryBudget> budgetFactory;

	private final Backoff backoff;

	/**
	 * Creates a policy.
	 * @param configuration configuration in force
	 * @param allowanceFactory creates an allowance of the given size
	 * @param budgetFactory creates the retry budget of a service
	 * @param random source of the jitter
	 */
	public BoundedRetryPolicy(ConfigurationHolder configuration, IntFunction<RetryAllowance> allowanceFactory,
			Function<ServiceName, RetryBudget> budgetFactory, RandomGenerator random) {
		this.configuration = configuration;
		this.allowanceFactory = allowanceFactory;
		this.budgetFactory = budgetFactory;
		this.backoff = new Backoff(random);
	}

	@Override
	public RetryAllowance allowance(CallRequest request) {
		return this.allowanceFactory.apply(request.context().retryAllowance());
	}

	/**
	 * Reserves nothing for a service that calls no other service, because its node sends
	 * no call that it could retry. Otherwise leaves one retry to this hop, because a lost
	 * response spends the whole reservation. If only one retry is available, it is
	 * reserved for the deeper hops, which are more likely to need it.
	 */
	@Override
	public int retriesToReserve(ServiceName service, int available) {
		boolean leaf = this.configuration.current()
			.service(service)
			.map((policy) -> policy.calls().isEmpty())
			.orElse(false);
		if (leaf) {
			return 0;
		}
		return (available > 1) ? available - 1 : available;
	}

	@Override
	public boolean tryToRetry(CallRequest request, Outcome outcome, RetryAllowance allowance) {
		if (!isRetryable(request, outcome)) {
			return false;
		}
		return allowance.available() > 0 && budget(request.service()).tryToSpend() && allowance.tryToSpend();
	}

	private static boolean isRetryable(CallRequest request, Outcome outcome) {
		if (outcome instanceof Outcome.Refused refused) {
			return switch (refused.reason()) {
				case SHED, OVERLOADED, QUEUE_FULL -> true;
				default -> false;
			};
		}
		boolean idempotent = request.context().execution() == Execution.IDEMPOTENT;
		return idempotent && outcome instanceof Outcome.Failed failed && !failed.retriedBelow();
	}

	@Override
	public OptionalLong backoff(int retry, long remainingNanoseconds) {
		return this.backoff.delay(retry, remainingNanoseconds);
	}

	@Override
	public void succeeded(ServiceName service) {
		budget(service).earn();
	}

	private RetryBudget budget(ServiceName service) {
		return this.budgets.computeIfAbsent(service, this.budgetFactory);
	}

}
