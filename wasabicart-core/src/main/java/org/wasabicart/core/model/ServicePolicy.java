package org.wasabicart.core.model;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;

/**
 * Policy of one service, from the operations lead's section.
 *
 * @param name service
 * @param ceiling highest number of calls at once for each backend server
 * @param slots calls that one backend server can run at once
 * @param connections connections that one backend server accepts
 * @param retryBudgetRatio retries that a node may send, as a fraction of its successes
 * @param queueTime longest time in the admission queue
 * @param queueBytes most bytes in the admission queue
 * @param attemptDeadline longest time of one attempt
 * @param calls services that this service calls
 */
public record ServicePolicy(ServiceName name, int ceiling, int slots, int connections, double retryBudgetRatio,
		Duration queueTime, long queueBytes, Duration attemptDeadline, Set<ServiceName> calls) {

	public ServicePolicy {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(queueTime, "queueTime");
		Objects.requireNonNull(attemptDeadline, "attemptDeadline");
		calls = Set.copyOf(calls);
		if (ceiling < 1 || slots < 1 || connections < 1) {
			throw new IllegalArgumentException("Ceiling, slots and connections must be positive: " + name);
		}
	}

}
