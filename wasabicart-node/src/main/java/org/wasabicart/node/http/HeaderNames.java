package org.wasabicart.node.http;

import java.util.Locale;
import java.util.Set;

/**
 * Names of HTTP header fields, and which of them are forwarded.
 */
final class HeaderNames {

	static final String PREFIX = "wasabicart-";

	static final String KIND = "Wasabicart-Kind";

	static final String TENANT = "Wasabicart-Tenant";

	static final String REQUEST_ID = "Wasabicart-Request-Id";

	static final String DEADLINE = "Wasabicart-Deadline-Milliseconds";

	static final String SERVICE = "Wasabicart-Service";

	static final String CONTEXT = "Wasabicart-Context";

	static final String TICKET = "Wasabicart-Ticket";

	static final String EXECUTION = "Wasabicart-Execution";

	static final String REASON = "Wasabicart-Reason";

	static final String RETRY_AFTER = "Retry-After";

	static final String RETRY_AFTER_MILLISECONDS = "Wasabicart-Retry-After-Milliseconds";

	static final String SHED = "Wasabicart-Shed";

	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	static final String CONTENT_TYPE = "Content-Type";

	private static final Set<String> NOT_FORWARDED = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host",
			"content-length", "content-type", "expect", "date", "server", "timeout-access");

	private HeaderNames() {
	}

	/**
	 * Returns whether a field is forwarded between the caller and the backend server.
	 * @param name field name
	 * @return {@code false} for hop-by-hop fields, for fields that the HTTP library
	 * handles, and for the fields that Wasabicart defines
	 */
	static boolean isForwarded(String name) {
		String lower = name.toLowerCase(Locale.ROOT);
		return !NOT_FORWARDED.contains(lower) && !lower.startsWith(PREFIX);
	}

}
