package org.wasabicart.configuration;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.model.ServicePolicy;

/**
 * Builds the policy of one service. By default, the ceiling and the number of connections
 * are equal to the number of slots.
 */
public final class ServiceBuilder {

	private final ServiceName name;

	private final Set<ServiceName> calls = new LinkedHashSet<>();

	private int slots = 1;

	private int ceiling;

	private int connections;

	private double retryBudgetRatio = 0.1;

	private Duration queueTime = Duration.ofMillis(50);

	private long queueBytes = 4 * 1024 * 1024;

	private Duration attemptDeadline = Duration.ofSeconds(1);

	ServiceBuilder(String name) {
		this.name = new ServiceName(name);
	}

	/**
	 * Sets the number of calls that one backend server can run concurrently.
	 * @param slots one or more
	 * @return this builder
	 */
	public ServiceBuilder slots(int slots) {
		this.slots = slots;
		return this;
	}

	/**
	 * Sets the upper bound of the concurrency limit of each backend server.
	 * @param ceiling one or more
	 * @return this builder
	 */
	public ServiceBuilder ceiling(int ceiling) {
		this.ceiling = ceiling;
		return this;
	}

	/**
	 * Sets the number of connections that one backend server accepts.
	 * @param connections one or more
	 * @return this builder
	 */
	public ServiceBuilder connections(int connections) {
		this.connections = connections;
		return this;
	}

	/**
	 * Sets the retries that a node may send, as a fraction of its successful calls.
	 * @param ratio 0 to 1
	 * @return this builder
	 */
	public ServiceBuilder retryBudgetRatio(double ratio) {
		this.retryBudgetRatio = ratio;
		return this;
	}

	/**
	 * Sets the limits of the admission queue.
	 * @param time maximum time in the queue
	 * @param bytes maximum total size of the calls in the queue, in bytes
	 * @return this builder
	 */
	public ServiceBuilder queue(Duration time, long bytes) {
		this.queueTime = time;
		this.queueBytes = bytes;
		return this;
	}

	/**
	 * Sets the maximum duration of one attempt.
	 * @param deadline maximum duration
	 * @return this builder
	 */
	public ServiceBuilder attemptDeadline(Duration deadline) {
		this.attemptDeadline = deadline;
		return this;
	}

	/**
	 * Adds services that this service calls.
	 * @param services names of the called services
	 * @return this builder
	 */
	public ServiceBuilder calls(String... services) {
		for (String service : services) {
			this.calls.add(new ServiceName(service));
		}
		return this;
	}

	ServicePolicy build() {
		int effectiveConnections = (this.connections > 0) ? this.connections : this.slots;
		int effectiveCeiling = (this.ceiling > 0) ? this.ceiling : this.slots;
		return new ServicePolicy(this.name, effectiveCeiling, this.slots, effectiveConnections, this.retryBudgetRatio,
				this.queueTime, this.queueBytes, this.attemptDeadline, this.calls);
	}

}
