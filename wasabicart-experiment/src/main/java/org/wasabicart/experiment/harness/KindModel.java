package org.wasabicart.experiment.harness;

import java.util.Objects;

/**
 * One request kind of a deployment.
 *
 * @param name kind
 * @param importance 0 (refused first) to 100 (refused last)
 * @param credit worth of one answered request
 * @param order whether it runs at most once
 * @param entryService service that answers the root request
 * @param pathPrefix path prefix of its requests
 * @param deadlineMilliseconds time from arrival to answer
 * @param retryAllowance attempts beyond the first in the whole call tree
 * @param share share of the arriving requests
 */
public record KindModel(String name, int importance, double credit, boolean order, String entryService,
		String pathPrefix, long deadlineMilliseconds, int retryAllowance, double share) {

	public KindModel {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(entryService, "entryService");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
	}

}
