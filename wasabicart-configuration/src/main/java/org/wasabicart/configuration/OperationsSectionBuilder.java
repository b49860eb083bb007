package org.wasabicart.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.Revision;
import org.wasabicart.core.model.ServicePolicy;

/**
 * Builds the operations lead's section.
 */
public final class OperationsSectionBuilder {

	private final String author;

	private final List<ServicePolicy> services = new ArrayList<>();

	private final List<KindLimit> kindLimits = new ArrayList<>();

	private final Map<FailureDomain, RegionName> failureDomains = new LinkedHashMap<>();

	private DefaultLimit defaultLimit = new DefaultLimit(Duration.ofSeconds(2), 1);

	private int maximumRetryAllowance = 3;

	private NetworkDeclaration network = new NetworkDeclaration(30, Duration.ofMillis(1), Duration.ofMillis(12),
			Duration.ofMillis(1));

	OperationsSectionBuilder(String author) {
		this.author = author;
	}

	/**
	 * Adds a service.
	 * @param name name of the service
	 * @param content sets the properties of the service
	 * @return this builder
	 */
	public OperationsSectionBuilder service(String name, Consumer<ServiceBuilder> content) {
		ServiceBuilder builder = new ServiceBuilder(name);
		content.accept(builder);
		this.services.add(builder.build());
		return this;
	}

	/**
	 * Sets the limits of one kind.
	 * @param kind name of the kind
	 * @param deadline maximum time from arrival to response
	 * @param retryAllowance maximum number of retries in the whole call tree
	 * @return this builder
	 */
	public OperationsSectionBuilder kindLimit(String kind, Duration deadline, int retryAllowance) {
		this.kindLimits.add(new KindLimit(new KindName(kind), deadline, retryAllowance));
		return this;
	}

	/**
	 * Sets the limits of all other kinds.
	 * @param deadline maximum time from arrival to response
	 * @param retryAllowance maximum number of retries in the whole call tree
	 * @return this builder
	 */
	public OperationsSectionBuilder defaultLimit(Duration deadline, int retryAllowance) {
		this.defaultLimit = new DefaultLimit(deadline, retryAllowance);
		return this;
	}

	/**
	 * Sets the highest retry allowance that a kind may have.
	 * @param allowance maximum number of retries in the whole call tree
	 * @return this builder
	 */
	public OperationsSectionBuilder maximumRetryAllowance(int allowance) {
		this.maximumRetryAllowance = allowance;
		return this;
	}

	/**
	 * Adds a failure domain.
	 * @param name name of the failure domain
	 * @param region name of its region
	 * @return this builder
	 */
	public OperationsSectionBuilder failureDomain(String name, String region) {
		this.failureDomains.put(new FailureDomain(name), new RegionName(region));
		return this;
	}

	/**
	 * Sets the delays and rates of the network.
	 * @param network delays and rates
	 * @return this builder
	 */
	public OperationsSectionBuilder network(NetworkDeclaration network) {
		this.network = network;
		return this;
	}

	OperationsSection build() {
		SectionHeader header = new SectionHeader(this.author, new Revision(0), List.of());
		return new OperationsSection(header, this.services, this.kindLimits, this.defaultLimit,
				this.maximumRetryAllowance, this.failureDomains, this.network);
	}

}
