package org.wasabicart.core.model;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;

/**
 * Policy of one service, from the operations section of the configuration.
 *
 * @param name service
 * @param ceiling maximum number of concurrent calls for each backend server
 * @param slots number of calls that one backend server can run concurrently
 * @param connections number of connections that one backend server accepts
 * @param retryBudgetRatio retries that a node may send, as a fraction of its successful
 * calls
 * @param queueTime maximum time in the admission queue
 * @param queueBytes maximum total size of the calls in the admission queue, in bytes
 * @param attemptDeadline maximum duration of one attempt
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
