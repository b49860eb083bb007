package org.wasabicart.configuration;

import java.time.Duration;
import java.util.Objects;

import org.wasabicart.core.model.KindName;

/**
 * Operations lead's limits of one request kind.
 *
 * @param kind kind
 * @param deadline time from arrival to response
 * @param retryAllowance attempts beyond the first, over the whole call tree
 */
public record KindLimit(KindName kind, Duration deadline, int retryAllowance) {

	public KindLimit {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(deadline, "deadline");
	}

}
