package org.wasabicart.configuration;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.ServicePolicy;

/**
 * The operations lead's section, which limits the load on the services. Deadlines and
 * retry allowances belong to it, since they determine the load that a request causes.
 *
 * @param header author and history of the section
 * @param services services
 * @param kindLimits limits of individual kinds
 * @param defaultLimit limits of all other kinds
 * @param maximumRetryAllowance highest retry allowance that a kind may have
 * @param failureDomains region of each failure domain
 * @param network delays and rates of the network
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
	 * Returns a copy of this section with another header.
	 * @param header new header
	 * @return the copy
	 */
	public OperationsSection withHeader(SectionHeader header) {
		return new OperationsSection(header, this.services, this.kindLimits, this.defaultLimit,
				this.maximumRetryAllowance, this.failureDomains, this.network);
	}

	/**
	 * Returns whether another section is equal to this one apart from the header.
	 * @param other section to compare with
	 * @return {@code true} if the content is equal
	 */
	public boolean hasSameContentAs(OperationsSection other) {
		return equals(other.withHeader(this.header));
	}

}
