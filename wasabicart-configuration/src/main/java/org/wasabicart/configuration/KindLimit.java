package org.wasabicart.configuration;

import java.time.Duration;
import java.util.Objects;

import org.wasabicart.core.model.KindName;

/**
 * Limits that the operations lead sets for one request kind.
 *
 * @param kind kind
 * @param deadline maximum time from arrival to response
 * @param retryAllowance maximum number of retries in the whole call tree
 */
public record KindLimit(KindName kind, Duration deadline, int retryAllowance) {

	public KindLimit {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(deadline, "deadline");
	}

}
