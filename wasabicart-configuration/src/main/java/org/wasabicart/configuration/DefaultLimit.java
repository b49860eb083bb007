package org.wasabicart.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of each kind for which the operations section has no {@link KindLimit}, so that
 * the product manager can add a kind without waiting for the operations lead.
 *
 * @param deadline maximum time from arrival to response
 * @param retryAllowance maximum number of retries in the whole call tree
 */
public record DefaultLimit(Duration deadline, int retryAllowance) {

	public DefaultLimit {
		Objects.requireNonNull(deadline, "deadline");
	}

}
