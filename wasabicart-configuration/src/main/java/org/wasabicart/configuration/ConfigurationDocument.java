package org.wasabicart.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * Configuration as it is printed and stored. The store holds the sections of both owners,
 * a file of one owner only that owner's section.
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
	 * Returns a copy of this document in which the sections of another document replace
	 * the existing ones.
	 * @param other document whose sections take precedence
	 * @return the merged document
	 */
	public ConfigurationDocument merge(ConfigurationDocument other) {
		return new ConfigurationDocument(other.product.or(() -> this.product),
				other.operations.or(() -> this.operations));
	}

}
