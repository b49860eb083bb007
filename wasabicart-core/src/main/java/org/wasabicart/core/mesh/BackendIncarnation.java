package org.wasabicart.core.mesh;

import java.util.Objects;

/**
 * Identifies one run of a backend server. A server may start again under the same id.
 *
 * @param instance id of the server
 * @param born start of the run in milliseconds since the epoch; 0 if unknown
 */
public record BackendIncarnation(String instance, long born) {

	public BackendIncarnation {
		Objects.requireNonNull(instance, "instance");
	}

	@Override
	public String toString() {
		return this.instance + "@" + this.born;
	}

}
