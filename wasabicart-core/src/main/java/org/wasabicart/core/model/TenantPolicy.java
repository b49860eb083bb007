package org.wasabicart.core.model;

import java.util.Objects;

/**
 * Policy of one tenant.
 *
 * @param name tenant
 * @param share weight among tenants of one importance; higher than zero
 */
public record TenantPolicy(TenantName name, double share) {

	public TenantPolicy {
		Objects.requireNonNull(name, "name");
		if (!(share > 0)) {
			throw new IllegalArgumentException("Share must be higher than zero: " + share);
		}
	}

}
