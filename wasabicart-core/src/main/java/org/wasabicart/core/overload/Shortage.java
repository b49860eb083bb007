package org.wasabicart.core.overload;

import java.util.Objects;

import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.ServiceName;

/**
 * Lack of capacity of one service.
 *
 * @param service service
 * @param admissibleShare share of the demand that entries should admit, from 0 to 1; 1
 * means that the service is no longer short
 * @param node node beside a server of the service, which reported it last
 * @param observed time of that report in nanoseconds
 * @param needed whether requests of the route for which this is reported need the service
 */
public record Shortage(ServiceName service, double admissibleShare, NodeId node, long observed, boolean needed) {

	public Shortage {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(node, "node");
		if (!(admissibleShare >= 0 && admissibleShare <= 1)) {
			throw new IllegalArgumentException("Admissible share is not between 0 and 1: " + admissibleShare);
		}
	}

	Shortage withNeeded(boolean value) {
		return new Shortage(this.service, this.admissibleShare, this.node, this.observed, value);
	}

}
