package org.wasabicart.configuration;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.ServicePolicy;

/**
 * Section of the operations lead: how hard services are driven. Deadlines and retry
 * allowances belong here since they are load.
 *
 * @param header origin of the section
 * @param services services
 * @param kindLimits limits of single kinds
 * @param defaultLimit limit of all other kinds
 * @param maximumRetryAllowance bound on the retry allowance of every kind
 * @param failureDomains region of each failure domain
 * @param network delays and rates
 */
public record OperationsSection(SectionHeader header, List<ServicePolicy> services, List<KindLimit> kindLimits,
		DefaultLimit defaultLimit, int maximumRetryAllowance, Map<FailureDomain, RegionName> failureDomains,
		NetworkDeclaration network) {

	public OperationsSection {
		Objects.requireNonNull(header, "header");
		services = List.copyOf(services);
		kindLimits = List.copyOf(kindLimits);
		Objects.requireNonNull(defaultLimit, "defaultLimit");
		failureDomains = Map.copyOf(failureDomains);
		Objects.requireNonNull(network, "network");
	}

	/**
	 * Returns the same content with another origin.
	 * @param header origin
	 * @return a section with this content
	 */
	public OperationsSection withHeader(SectionHeader header) {
		return new OperationsSection(header, this.services, this.kindLimits, this.defaultLimit,
				this.maximumRetryAllowance, this.failureDomains, this.network);
	}

	/**
	 * Tells whether two sections differ only in their origin.
	 * @param other other section
	 * @return whether the content is equal
	 */
	public boolean hasContentOf(OperationsSection other) {
		return equals(other.withHeader(this.header));
	}

}
