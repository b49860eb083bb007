package org.wasabicart.core.model;

import java.util.Objects;

/**
 * Policy of one tenant.
 *
 * @param name tenant
 * @param share positive weight relative to other tenants, among calls of the same
 * importance
 */
public record TenantPolicy(TenantName name, double share) {

	public TenantPolicy {
		Objects.requireNonNull(name, "name");
		if (!(share > 0)) {
			throw new IllegalArgumentException("Share must be higher than zero: " + share);
		}
	}

}
