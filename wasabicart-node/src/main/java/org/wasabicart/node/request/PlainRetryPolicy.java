package org.wasabicart.node.request;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.IntFunction;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RequestKind;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.node.ConfigurationHolder;
import org.wasabicart.node.peer.CallRequest;

/**
 * Baseline for comparison: each hop retries on its own, as often as the kind's allowance
 * says, after a fixed wait. Retries multiply along a call chain.
 */
public final class PlainRetryPolicy implements RetryPolicy {

	private static final long WAIT_NANOSECONDS = Duration.ofMillis(10).toNanos();

	private final ConfigurationHolder configuration;

	private final IntFunction<RetryAllowance> allowances;

	/**
	 * Creates a policy.
	 * @param configuration configuration in force
	 * @param allowances creates an allowance of a size
	 */
	public PlainRetryPolicy(ConfigurationHolder configuration, IntFunction<RetryAllowance> allowances) {
		this.configuration = configuration;
		this.allowances = allowances;
	}

	@Override
	public RetryAllowance allowance(CallRequest request) {
		int retries = this.configuration.current()
			.kind(request.context().kind())
			.map(RequestKind::retryAllowance)
			.orElse(0);
		return this.allowances.apply(retries);
	}

	@Override
	public int share(ServiceName service, int available) {
		return 0;
	}

	@Override
	public boolean spend(CallRequest request, Outcome outcome, RetryAllowance allowance) {
		boolean neverRan = outcome instanceof Outcome.Refused;
		boolean idempotent = request.context().execution() == Execution.IDEMPOTENT;
		return (neverRan || idempotent) && allowance.tryToSpend();
	}

	@Override
	public OptionalLong backoff(int retry, long remainingNanoseconds) {
		return (WAIT_NANOSECONDS < remainingNanoseconds) ? OptionalLong.of(WAIT_NANOSECONDS) : OptionalLong.empty();
	}

	@Override
	public void succeeded(ServiceName service) {
	}

}
