package org.wasabicart.standin.caller;

import java.util.Objects;

/**
 * A kind of request that callers send.
 *
 * @param name name of the kind
 * @param pathPrefix prefix of the path, followed by a slash and the request's number
 * @param order whether the request is an order, sent with a ticket
 * @param deadlineMilliseconds time after which the caller has no use for the answer
 * @param share share of the arriving requests; shares are relative to their sum
 */
public record CallerKind(String name, String pathPrefix, boolean order, long deadlineMilliseconds, double share) {

	public CallerKind {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
	}

}
