package org.wasabicart.configuration;

import java.util.List;
import java.util.Objects;

import org.wasabicart.core.model.TenantPolicy;

/**
 * Section of the product manager: which requests matter and what they are worth.
 *
 * @param header origin of the section
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
	 * Returns the same content with another origin.
	 * @param header origin
	 * @return a section with this content
	 */
	public ProductSection withHeader(SectionHeader header) {
		return new ProductSection(header, this.kinds, this.tenants);
	}

	/**
	 * Tells whether two sections differ only in their origin.
	 * @param other other section
	 * @return whether the content is equal
	 */
	public boolean hasContentOf(ProductSection other) {
		return equals(other.withHeader(this.header));
	}

}
