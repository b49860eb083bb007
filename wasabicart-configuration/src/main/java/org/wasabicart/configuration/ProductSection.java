package org.wasabicart.configuration;

import java.util.List;
import java.util.Objects;

import org.wasabicart.core.model.TenantPolicy;

/**
 * The product manager's section, which declares the request kinds with their importance
 * and credit, and the shares of the tenants.
 *
 * @param header author and history of the section
 * @param kinds request kinds
 * @param tenants tenants
 */
public record ProductSection(SectionHeader header, List<KindDeclaration> kinds, List<TenantPolicy> tenants) {

	public ProductSection {
		Objects.requireNonNull(header, "header");
		kinds = List.copyOf(kinds);
		tenants = List.copyOf(tenants);
	}

	/**
	 * Returns a copy of this section with another header.
	 * @param header new header
	 * @return the copy
	 */
	public ProductSection withHeader(SectionHeader header) {
		return new ProductSection(header, this.kinds, this.tenants);
	}

	/**
	 * Returns whether another section is equal to this one apart from the header.
	 * @param other section to compare with
	 * @return {@code true} if the content is equal
	 */
	public boolean hasSameContentAs(ProductSection other) {
		return equals(other.withHeader(this.header));
	}

}
