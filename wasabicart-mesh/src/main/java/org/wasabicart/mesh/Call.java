package org.wasabicart.mesh;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.wasabicart.core.mesh.RateLimit;
import org.wasabicart.core.mesh.RequestPriority;
import org.wasabicart.core.workspace.WorkspaceName;

/**
 * A call to a backend server.
 *
 * @param requestId id of one attempt of the caller
 * @param method HTTP method
 * @param target path with query, as sent by the caller
 * @param headers header fields that are forwarded
 * @param body complete body; not copied, must not be modified
 * @param deadline time in nanoseconds at which the caller stops waiting
 * @param instance incarnation of the server that may run the call
 * @param callerService service of the node through which the call entered
 * @param idempotent whether the call may run more than once
 * @param priority priority of the workspace and the route
 * @param latestStart latest time in nanoseconds until which the call may wait for a slot
 * @param route name of the route
 * @param knownRateLimit rate limit of the server that the sender has learned last, or
 * empty if it knows none
 * @param workspace workspace of the request, or empty if none is known
 * @param targetEnd time in nanoseconds at which the target latency of the request has
 * passed, or empty if it has none or the order of gates does not need it
 */
record Call(String requestId, String method, String target, HeaderBlock headers, byte[] body, long deadline,
		String instance, String callerService, boolean idempotent, RequestPriority priority, long latestStart,
		String route, Optional<RateLimit> knownRateLimit, Optional<WorkspaceName> workspace, OptionalLong targetEnd) {

	Call {
		HeadSyntax.requireWord("Method", method);
		HeadSyntax.requireWord("Target", target);
		HeadSyntax.requireLine("Expected incarnation", instance);
		HeadSyntax.requireLine("Service of the caller", callerService);
		Objects.requireNonNull(priority, "priority");
		Objects.requireNonNull(knownRateLimit, "knownRateLimit");
		Objects.requireNonNull(workspace, "workspace");
		Objects.requireNonNull(targetEnd, "targetEnd");
	}

	/**
	 * Returns a copy of this call for a server.
	 * @param expected incarnation that may run the call
	 * @param rateLimit rate limit of the server as known to this node
	 * @return the call
	 */
	Call forServer(String expected, Optional<RateLimit> rateLimit) {
		return new Call(this.requestId, this.method, this.target, this.headers, this.body, this.deadline, expected,
				this.callerService, this.idempotent, this.priority, this.latestStart, this.route, rateLimit,
				this.workspace, this.targetEnd);
	}

}
