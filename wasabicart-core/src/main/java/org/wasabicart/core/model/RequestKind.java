package org.wasabicart.core.model;

import java.time.Duration;
import java.util.Objects;

/**
 * Policy of one request kind, merged from the product and the operations section of the
 * configuration.
 *
 * @param name kind
 * @param importance 0 (refused first) to 100 (refused last)
 * @param credit value of one answered root request
 * @param execution whether the kind is idempotent or an order
 * @param entryService service that answers the root request
 * @param pathPrefix path prefix that identifies the kind; empty if only a header
 * identifies it
 * @param deadline maximum time from arrival to answer
 * @param retryAllowance maximum number of retries in the whole call tree
 */
public record RequestKind(KindName name, int importance, double credit, Execution execution, ServiceName entryService,
		String pathPrefix, Duration deadline, int retryAllowance) {

	/** Highest importance. */
	public static final int MAXIMUM_IMPORTANCE = 100;

	public RequestKind {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(execution, "execution");
		Objects.requireNonNull(entryService, "entryService");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
		Objects.requireNonNull(deadline, "deadline");
		if (importance < 0 || importance > MAXIMUM_IMPORTANCE) {
			throw new IllegalArgumentException("Importance is out of range: " + importance);
		}
		if (retryAllowance < 0) {
			throw new IllegalArgumentException("Retry allowance is negative: " + retryAllowance);
		}
	}

}
