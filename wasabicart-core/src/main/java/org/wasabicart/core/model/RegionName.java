package org.wasabicart.core.model;

import java.util.regex.Pattern;

/**
 * Names a region.
 *
 * @param value 1 to 64 characters that match {@code [A-Za-z0-9._-]}
 */
public record RegionName(String value) implements Comparable<RegionName> {

	private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	public RegionName {
		if (value == null || !FORMAT.matcher(value).matches()) {
			throw new IllegalArgumentException("Not a valid RegionName: " + value);
		}
	}

	@Override
	public int compareTo(RegionName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
