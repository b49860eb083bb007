package org.wasabicart.core.model;

/**
 * Identifies one process instance of a node. Each restart of the node gets a higher
 * number.
 *
 * @param value zero or higher
 */
public record InstanceNumber(long value) implements Comparable<InstanceNumber> {

	public InstanceNumber {
		if (value < 0) {
			throw new IllegalArgumentException("InstanceNumber is negative: " + value);
		}
	}

	@Override
	public int compareTo(InstanceNumber other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
