package org.wasabicart.node.peer;

import java.util.Objects;

import org.wasabicart.core.model.ServiceName;

/**
 * Admission threshold of a service that a call reached.
 *
 * @param service service
 * @param threshold lowest priority that the service admits
 */
public record ServiceThreshold(ServiceName service, int threshold) {

	public ServiceThreshold {
		Objects.requireNonNull(service, "service");
	}

}
