package org.wasabicart.mesh;

import java.util.Objects;

/**
 * Names of the header fields that the node reads or sets on requests and responses.
 *
 * @param requestId id of one attempt of a caller; the server returns it in the response
 * @param deadline remaining time in milliseconds that the caller waits
 * @param expectedInstance only incarnation of the server that may run the request
 * @param callerService service of the node through which the request entered
 * @param notExecuted marks the response of a server that did not run the request
 * @param signature marks a response that the server itself created
 * @param rateLimit requests per second that the server accepts from all nodes together,
 * in a response
 * @param leaving marks the responses of a server that is leaving
 * @param authorization carries the key of a caller's workspace
 * @param keyScheme authentication scheme that precedes the key
 * @param tenant name of the workspace, set by the node
 */
public record HeaderNames(String requestId, String deadline, String expectedInstance, String callerService,
		String notExecuted, String signature, String rateLimit, String leaving, String authorization, String keyScheme,
		String tenant) {

	public HeaderNames {
		Objects.requireNonNull(requestId, "requestId");
		Objects.requireNonNull(deadline, "deadline");
		Objects.requireNonNull(expectedInstance, "expectedInstance");
		Objects.requireNonNull(callerService, "callerService");
		Objects.requireNonNull(notExecuted, "notExecuted");
		Objects.requireNonNull(signature, "signature");
		Objects.requireNonNull(rateLimit, "rateLimit");
		Objects.requireNonNull(leaving, "leaving");
		Objects.requireNonNull(authorization, "authorization");
		Objects.requireNonNull(keyScheme, "keyScheme");
		Objects.requireNonNull(tenant, "tenant");
	}

}
