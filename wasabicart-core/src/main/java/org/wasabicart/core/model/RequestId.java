package org.wasabicart.core.model;

import java.util.regex.Pattern;

/**
 * Identifies a root request across all hops of its call tree.
 *
 * @param value 1 to 64 characters that match {@code [A-Za-z0-9._-]}
 */
public record RequestId(String value) implements Comparable<RequestId> {

	private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	public RequestId {
		if (value == null || !FORMAT.matcher(value).matches()) {
			throw new IllegalArgumentException("Not a valid RequestId: " + value);
		}
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
