package org.wasabicart.core.model;

import java.util.Locale;

/**
 * Reason why a request was refused before it ran.
 */
public enum RefusalReason {

	/** The request is malformed, or its kind or tenant is unknown. */
	BAD_REQUEST,

	/** The nested call's context handle is unknown. */
	CONTEXT_UNKNOWN,

	/** Priority is below the threshold of a service on the request's path. */
	OVERLOADED,

	/** The queue is full, or the request exceeded the maximum queue time. */
	QUEUE_FULL,

	/** Earlier attempts with this request id used up its retry allowance. */
	RETRIES_SPENT,

	/** The deadline passed before the request ran. */
	EXPIRED,

	/** No reachable backend server of the service accepts calls. */
	NO_BACKEND_SERVER,

	/** The backend server or node is draining. */
	DRAINING,

	/** The backend server signalled that it shed the request. */
	SHED,

	/** The link between regions has no free capacity. */
	REGION_LINK_FULL,

	/** The store did not respond to a claim of an idempotency key. */
	STORE_UNAVAILABLE,

	/** A size-limited table is full. */
	TABLE_FULL,

	/** The ticket is not valid for this tenant or was already used. */
	TICKET_REJECTED,

	/** The caller cancelled before the request ran. */
	CANCELLED,

	/** No connection to the serving node could be opened. */
	UNREACHABLE;

	/**
	 * Returns the name that is used in headers, logs and metrics.
	 * @return the name in kebab-case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
