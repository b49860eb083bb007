package org.wasabicart.store;

import java.util.regex.Pattern;

/**
 * Identifies one change of the configuration, so that a change that is published again is
 * recognised.
 *
 * @param value 1 to 64 letters, digits, dots, underscores or hyphens
 */
public record ChangeId(String value) {

	private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	public ChangeId {
		if (value == null || !FORMAT.matcher(value).matches()) {
			throw new IllegalArgumentException("Not a valid change id: " + value);
		}
	}

}
