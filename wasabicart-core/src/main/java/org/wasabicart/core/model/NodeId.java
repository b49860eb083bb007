package org.wasabicart.core.model;

import java.util.regex.Pattern;

/**
 * Identifies a node, unique within the deployment.
 *
 * @param value 1 to 64 characters that match {@code [A-Za-z0-9._-]}
 */
public record NodeId(String value) implements Comparable<NodeId> {

	private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	public NodeId {
		if (value == null || !FORMAT.matcher(value).matches()) {
			throw new IllegalArgumentException("Not a valid NodeId: " + value);
		}
	}

	@Override
	public int compareTo(NodeId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
