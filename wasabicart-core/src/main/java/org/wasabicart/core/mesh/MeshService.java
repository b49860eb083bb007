package org.wasabicart.core.mesh;

import java.util.Objects;

import org.wasabicart.core.model.ServiceName;

/**
 * A service as the configuration declares it.
 *
 * @param name name
 * @param healthPath path of the health check
 * @param maximumConnections connections that one server accepts from all callers together
 */
public record MeshService(ServiceName name, String healthPath, int maximumConnections) {

	public MeshService {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(healthPath, "healthPath");
		if (maximumConnections < 1) {
			throw new IllegalArgumentException("maximumConnections of a service must be at least 1: " + name);
		}
	}

}
