package org.wasabicart.core.model;

/**
 * Revision of the configuration, as given by the store. Zero stands for no configuration.
 *
 * @param value zero or higher
 */
public record Revision(long value) implements Comparable<Revision> {

	public Revision {
		if (value < 0) {
			throw new IllegalArgumentException("Revision is negative: " + value);
		}
	}

	@Override
	public int compareTo(Revision other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
