package org.wasabicart.standin.caller;

import java.util.Objects;

/**
 * Requests of one kind that callers send.
 *
 * @param name kind
 * @param pathPrefix path prefix; the request's number follows
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
