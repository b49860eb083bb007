package org.wasabicart.core.workspace;

import java.util.Objects;

/**
 * Names a workspace. The name is sent to backend servers in a header field.
 *
 * @param value 1 to 128 visible ASCII characters
 */
public record WorkspaceName(String value) implements Comparable<WorkspaceName> {

	private static final int MAXIMUM_LENGTH = 128;

	public WorkspaceName {
		Objects.requireNonNull(value, "value");
		if (value.isEmpty() || value.length() > MAXIMUM_LENGTH
				|| !value.chars().allMatch((character) -> character > ' ' && character < 0x7f)) {
			throw new IllegalArgumentException("Not a valid WorkspaceName: " + value);
		}
	}

	@Override
	public int compareTo(WorkspaceName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
