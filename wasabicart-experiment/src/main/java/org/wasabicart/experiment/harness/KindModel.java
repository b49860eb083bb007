package org.wasabicart.experiment.harness;

import java.util.Objects;

/**
 * Request kind of a deployment.
 *
 * @param name kind
 * @param importance 0 (refused first) to 100 (refused last)
 * @param credit value of one answered request
 * @param order whether its requests run at most once
 * @param entryService service that receives the root request
 * @param pathPrefix path prefix of its requests
 * @param deadlineMilliseconds maximum time from arrival to answer
 * @param retryAllowance maximum number of retries in the whole call tree of a request
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
