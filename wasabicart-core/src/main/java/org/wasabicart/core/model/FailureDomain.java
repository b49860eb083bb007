package org.wasabicart.core.model;

import java.util.regex.Pattern;

/**
 * Names a failure domain.
 *
 * @param value 1 to 64 characters that match {@code [A-Za-z0-9._-]}
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

	private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	public FailureDomain {
		if (value == null || !FORMAT.matcher(value).matches()) {
			throw new IllegalArgumentException("Not a valid FailureDomain: " + value);
		}
	}

	@Override
	public int compareTo(FailureDomain other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
