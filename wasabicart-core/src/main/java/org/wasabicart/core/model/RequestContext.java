package org.wasabicart.core.model;

import java.util.Objects;

/**
 * Context of a call that is propagated to every hop, with the properties of its root
 * request.
 *
 * @param root root request
 * @param kind kind of the root request
 * @param tenant tenant of the root request
 * @param importance importance of the kind
 * @param execution whether the kind is idempotent or an order
 * @param deadlineNanoseconds deadline as a time of the local ticker
 * @param retryAllowance retries that this call and the calls below it may use
 * @param depth 0 for the root request, 1 for its nested calls, and so on
 */
public record RequestContext(RequestId root, KindName kind, TenantName tenant, int importance, Execution execution,
		long deadlineNanoseconds, int retryAllowance, int depth) {

	public RequestContext {
		Objects.requireNonNull(root, "root");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(tenant, "tenant");
		Objects.requireNonNull(execution, "execution");
		if (retryAllowance < 0 || depth < 0) {
			throw new IllegalArgumentException("Retry allowance and depth must not be negative");
		}
	}

	/**
	 * Returns the priority of a call with this context.
	 * @return the priority
	 */
	public int priority() {
		return Priority.of(this.importance, this.depth > 0, this.root);
	}

	/**
	 * Returns the time left until the deadline.
	 * @param nowNanoseconds current time of the local ticker
	 * @return nanoseconds, zero or negative once the deadline has passed
	 */
	public long remainingNanoseconds(long nowNanoseconds) {
		return this.deadlineNanoseconds - nowNanoseconds;
	}

}
