package org.wasabicart.core.model;

/**
 * Configuration revision, assigned by the store. Zero means that there is no
 * configuration.
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
