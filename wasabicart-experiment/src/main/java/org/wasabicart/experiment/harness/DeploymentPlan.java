package org.wasabicart.experiment.harness;

import java.util.List;

import org.wasabicart.standin.caller.CallerKind;

/**
 * Failure domains, services, request kinds and network of a deployment.
 *
 * @param name name of the deployment
 * @param domains failure domains
 * @param services services
 * @param kinds request kinds
 * @param domainMilliseconds one-way delay between failure domains of a region
 * @param regionMilliseconds one-way delay between regions
 * @param regionMegabits capacity of the link between regions, in Mbit/s each way
 * @param relayed whether peers reach each other through the network relay
 */
public record DeploymentPlan(String name, List<FailureDomainModel> domains, List<ServiceModel> services,
		List<KindModel> kinds, double domainMilliseconds, double regionMilliseconds, double regionMegabits,
		boolean relayed) {

	/** Tenant of all requests. */
	public static final String TENANT = "shop";

	public DeploymentPlan {
		domains = List.copyOf(domains);
		services = List.copyOf(services);
		kinds = List.copyOf(kinds);
	}

	/**
	 * Finds a service.
	 * @param name service
	 * @return the service
	 */
	public ServiceModel service(String name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst().orElseThrow();
	}

	/**
	 * Finds a request kind.
	 * @param name kind
	 * @return the kind
	 */
	public KindModel kind(String name) {
		return this.kinds.stream().filter((kind) -> kind.name().equals(name)).findFirst().orElseThrow();
	}

	/**
	 * Returns the request kinds in the form that the load generator takes.
	 * @return one for each kind
	 */
	public List<CallerKind> callerKinds() {
		return this.kinds.stream()
			.map((kind) -> new CallerKind(kind.name(), kind.pathPrefix(), kind.order(), kind.deadlineMilliseconds(),
					kind.share()))
			.toList();
	}

	/**
	 * Returns the service that limits the goodput if each request calls each service
	 * once.
	 * @return the service with the lowest capacity
	 */
	public ServiceModel bottleneck() {
		ServiceModel lowest = this.services.get(0);
		for (ServiceModel service : this.services) {
			if (service.capacity(this.domains.size()) < lowest.capacity(this.domains.size())) {
				lowest = service;
			}
		}
		return lowest;
	}

	/**
	 * Returns the capacity of the bottleneck service, computed from its slots and service
	 * time.
	 * @return requests per second
	 */
	public double capacity() {
		return bottleneck().capacity(this.domains.size());
	}

}
