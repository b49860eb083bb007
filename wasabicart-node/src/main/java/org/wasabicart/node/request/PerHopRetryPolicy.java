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
 * Baseline for comparison: each hop retries independently after a fixed delay, up to the
 * retry allowance of the request's kind. Retries multiply along a call chain.
 */
public final class PerHopRetryPolicy implements RetryPolicy {

	private static final long DELAY_NANOSECONDS = Duration.ofMillis(10).toNanos();

	private final ConfigurationHolder configuration;

	private final IntFunction<RetryAllowance> allowanceFactory;

	/**
	 * Creates a policy.
	 * @param configuration configuration in force
	 * @param allowanceFactory creates an allowance of the given size
	 */
	public PerHopRetryPolicy(ConfigurationHolder configuration, IntFunction<RetryAllowance> allowanceFactory) {
		this.configuration = configuration;
		this.allowanceFactory = allowanceFactory;
	}

	@Override
	public RetryAllowance allowance(CallRequest request) {
		int retries = this.configuration.current()
			.kind(request.context().kind())
			.map(RequestKind::retryAllowance)
			.orElse(0);
		return this.allowanceFactory.apply(retries);
	}

	@Override
	public int retriesToReserve(ServiceName service, int available) {
		return 0;
	}

	@Override
	public boolean tryToRetry(CallRequest request, Outcome outcome, RetryAllowance allowance) {
		boolean notRun = outcome instanceof Outcome.Refused;
		boolean idempotent = request.context().execution() == Execution.IDEMPOTENT;
		return (notRun || idempotent) && allowance.tryToSpend();
	}

	@Override
	public OptionalLong backoff(int retry, long remainingNanoseconds) {
		return (DELAY_NANOSECONDS < remainingNanoseconds) ? OptionalLong.of(DELAY_NANOSECONDS) : OptionalLong.empty();
	}

	@Override
	public void succeeded(ServiceName service) {
	}

}
