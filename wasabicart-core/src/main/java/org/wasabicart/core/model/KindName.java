package org.wasabicart.core.model;

import java.util.regex.Pattern;

/**
 * Names a request kind.
 *
 * @param value 1 to 64 characters that match {@code [A-Za-z0-9._-]}
 */
public record KindName(String value) implements Comparable<KindName> {

	private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	public KindName {
		if (value == null || !FORMAT.matcher(value).matches()) {
			throw new IllegalArgumentException("Not a valid KindName: " + value);
		}
	}

	@Override
	public int compareTo(KindName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
