package org.wasabicart.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the kinds for which the operations lead has set none, so that the product
 * manager can add a kind at once.
 *
 * @param deadline time from arrival to response
 * @param retryAllowance attempts beyond the first, over the whole call tree
 */
public record DefaultLimit(Duration deadline, int retryAllowance) {

	public DefaultLimit {
		Objects.requireNonNull(deadline, "deadline");
	}

}
