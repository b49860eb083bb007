package org.wasabicart.core.model;

import java.util.regex.Pattern;

/**
 * Names a service in the call graph.
 *
 * @param value 1 to 64 characters that match {@code [A-Za-z0-9._-]}
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

	private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	public ServiceName {
		if (value == null || !FORMAT.matcher(value).matches()) {
			throw new IllegalArgumentException("Not a valid ServiceName: " + value);
		}
	}

	@Override
	public int compareTo(ServiceName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
