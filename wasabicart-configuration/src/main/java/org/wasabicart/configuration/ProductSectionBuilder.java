package org.wasabicart.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.wasabicart.core.model.Revision;
import org.wasabicart.core.model.TenantName;
import org.wasabicart.core.model.TenantPolicy;

/**
 * Builds the product manager's section.
 */
public final class ProductSectionBuilder {

	private final String author;

	private final List<KindDeclaration> kinds = new ArrayList<>();

	private final List<TenantPolicy> tenants = new ArrayList<>();

	ProductSectionBuilder(String author) {
		this.author = author;
	}

	/**
	 * Adds a request kind.
	 * @param name name of the kind
	 * @param content sets the properties of the kind
	 * @return this builder
	 */
	public ProductSectionBuilder kind(String name, Consumer<KindBuilder> content) {
		KindBuilder builder = new KindBuilder(name);
		content.accept(builder);
		this.kinds.add(builder.build());
		return this;
	}

	/**
	 * Adds a tenant.
	 * @param name name of the tenant
	 * @param share positive weight relative to other tenants of the same importance
	 * @return this builder
	 */
	public ProductSectionBuilder tenant(String name, double share) {
		this.tenants.add(new TenantPolicy(new TenantName(name), share));
		return this;
	}

	ProductSection build() {
		return new ProductSection(new SectionHeader(this.author, new Revision(0), List.of()), this.kinds, this.tenants);
	}

}
