package org.wasabicart.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * Configuration as it is printed and stored: both sections, or one of them in a file of
 * one owner.
 *
 * @param product product manager's section
 * @param operations operations lead's section
 */
public record ConfigurationDocument(Optional<ProductSection> product, Optional<OperationsSection> operations) {

	public ConfigurationDocument {
		Objects.requireNonNull(product, "product");
		Objects.requireNonNull(operations, "operations");
	}

	/**
	 * Returns a document without sections.
	 * @return the empty document
	 */
	public static ConfigurationDocument empty() {
		return new ConfigurationDocument(Optional.empty(), Optional.empty());
	}

	/**
	 * Replaces the sections that another document has.
	 * @param other document with one or both sections
	 * @return this document with the other's sections put in
	 */
	public ConfigurationDocument merge(ConfigurationDocument other) {
		return new ConfigurationDocument(other.product.or(() -> this.product),
				other.operations.or(() -> this.operations));
	}

}
