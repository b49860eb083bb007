package org.wasabicart.experiment.harness;

import java.util.List;
import java.util.Objects;

/**
 * One service of a deployment, with equal servers in each failure domain.
 *
 * @param name service
 * @param serversPerDomain backend servers in each failure domain, each with a node
 * @param slots requests that one server runs at once
 * @param connections requests that one server holds at once
 * @param serviceMilliseconds time of a server's own work for one request
 * @param calls services that it calls, one after the other
 * @param attemptDeadlineMilliseconds longest time of one attempt
 * @param queueMilliseconds longest time in a node's admission queue
 * @param answerBytes length of its answers
 */
public record ServiceModel(String name, int serversPerDomain, int slots, int connections, double serviceMilliseconds,
		List<String> calls, long attemptDeadlineMilliseconds, long queueMilliseconds, int answerBytes) {

	public ServiceModel {
		Objects.requireNonNull(name, "name");
		calls = List.copyOf(calls);
	}

	/**
	 * Returns the requests that all servers of this service can complete.
	 * @param domains number of failure domains
	 * @return requests each second
	 */
	public double capacity(int domains) {
		return domains * this.serversPerDomain * this.slots * 1000 / this.serviceMilliseconds;
	}

}
