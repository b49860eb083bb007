package org.wasabicart.experiment.harness;

import java.util.List;
import java.util.Objects;

/**
 * Service of a deployment, with the same number of equal servers in each failure domain.
 *
 * @param name service
 * @param serversPerDomain backend servers in each failure domain, each with a node
 * @param slots requests that one server runs concurrently
 * @param connections requests that one server holds concurrently
 * @param serviceMilliseconds time that a server itself spends on one request
 * @param calls services that it calls, in sequence
 * @param attemptDeadlineMilliseconds maximum duration of one attempt
 * @param queueMilliseconds maximum time in a node's admission queue
 * @param answerBytes size of its answers
 */
public record ServiceModel(String name, int serversPerDomain, int slots, int connections, double serviceMilliseconds,
		List<String> calls, long attemptDeadlineMilliseconds, long queueMilliseconds, int answerBytes) {

	public ServiceModel {
		Objects.requireNonNull(name, "name");
		calls = List.copyOf(calls);
	}

	/**
	 * Returns the request rate that all servers of this service can sustain.
	 * @param domains number of failure domains
	 * @return requests per second
	 */
	public double capacity(int domains) {
		return domains * this.serversPerDomain * this.slots * 1000 / this.serviceMilliseconds;
	}

}
