package org.wasabicart.core.mesh;

import java.util.Objects;

import org.wasabicart.core.model.ServiceName;

/**
 * Part of a route's requests that goes to one service.
 *
 * @param service target service
 * @param weight share relative to the other parts of the route, 0 or more
 */
public record ServiceShare(ServiceName service, int weight) {

	public ServiceShare {
		Objects.requireNonNull(service, "service");
		if (weight < 0) {
			throw new IllegalArgumentException("Weight is negative: " + weight);
		}
	}

}
