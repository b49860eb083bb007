package org.wasabicart.core.model;

import java.util.regex.Pattern;

/**
 * Names a tenant.
 *
 * @param value 1 to 64 characters that match {@code [A-Za-z0-9._-]}
 */
public record TenantName(String value) implements Comparable<TenantName> {

	private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	public TenantName {
		if (value == null || !FORMAT.matcher(value).matches()) {
			throw new IllegalArgumentException("Not a valid TenantName: " + value);
		}
	}

	@Override
	public int compareTo(TenantName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
