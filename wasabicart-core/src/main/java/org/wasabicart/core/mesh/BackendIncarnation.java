package org.wasabicart.core.mesh;

import java.util.Objects;

/**
 * Identifies one run of a backend server. A server may start again under the same id.
 *
 * @param instance id of the server, 1 to 256 visible ASCII characters, since it is
 * written into the head of each request to the server
 * @param born start of the run in milliseconds since the epoch, before the year 10000; 0
 * if unknown
 */
public record BackendIncarnation(String instance, long born) {

	private static final int MAXIMUM_INSTANCE_LENGTH = 256;

	private static final char DELETE_CHARACTER = 0x7f;

	private static final long MAXIMUM_BORN = 253_402_300_799_999L;

	public BackendIncarnation {
		requireValid(instance, born);
	}

	/**
	 * Checks the identity of a run.
	 * @param instance id of the server
	 * @param born start of the run in milliseconds since the epoch
	 * @throws IllegalArgumentException if a value is out of range or the id contains
	 * other than visible ASCII characters
	 */
	public static void requireValid(String instance, long born) {
		Objects.requireNonNull(instance, "instance");
		if (instance.isEmpty() || instance.length() > MAXIMUM_INSTANCE_LENGTH) {
			throw new IllegalArgumentException("Length of the server id is out of range: " + instance.length());
		}
		if (!instance.chars().allMatch((character) -> character > ' ' && character < DELETE_CHARACTER)) {
			throw new IllegalArgumentException("Id of the server has other than visible ASCII characters");
		}
		// The latest run replaces the others, so no later one could replace this value.
		if (born < 0 || born > MAXIMUM_BORN) {
			throw new IllegalArgumentException("Start of the server is out of range: " + born);
		}
	}

	@Override
	public String toString() {
		return this.instance + "@" + this.born;
	}

}
