package org.wasabicart.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Builds a configuration document that a program prints as JSON. Each owner's program
 * builds only the section of that owner.
 *
 * <pre>{@code
 * System.out.print(new ConfigurationBuilder()
 *     .product("product-manager", (product) -> product
 *         .kind("lookup", (kind) -> kind.importance(60).credit(1).entryService("catalogue"))
 *         .tenant("shop", 1))
 *     .toJson());
 * }</pre>
 */
public final class ConfigurationBuilder {

	private ProductSection product;

	private OperationsSection operations;

	/**
	 * Adds the product manager's section.
	 * @param author who publishes the section
	 * @param content fills the section
	 * @return this builder
	 */
	public ConfigurationBuilder product(String author, Consumer<ProductSectionBuilder> content) {
		ProductSectionBuilder builder = new ProductSectionBuilder(author);
		content.accept(builder);
		this.product = builder.build();
		return this;
	}

	/**
	 * Adds the operations lead's section.
	 * @param author who publishes the section
	 * @param content fills the section
	 * @return this builder
	 */
	public ConfigurationBuilder operations(String author, Consumer<OperationsSectionBuilder> content) {
		OperationsSectionBuilder builder = new OperationsSectionBuilder(author);
		content.accept(builder);
		this.operations = builder.build();
		return this;
	}

	/**
	 * Returns the document without checking it.
	 * @return the document
	 */
	public ConfigurationDocument build() {
		return new ConfigurationDocument(Optional.ofNullable(this.product), Optional.ofNullable(this.operations));
	}

	/**
	 * Returns the document as JSON.
	 * @return the JSON text, followed by a line feed
	 */
	public String toJson() {
		byte[] json = new ConfigurationFormat().write(build());
		return new String(json, StandardCharsets.UTF_8) + "\n";
	}

}
