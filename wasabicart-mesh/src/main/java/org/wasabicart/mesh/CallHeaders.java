package org.wasabicart.mesh;

import java.util.Objects;

/**
 * Names of the header fields that the node reads or sets on requests and answers.
 *
 * @param requestId id of one attempt of a caller, echoed by the server
 * @param deadline time in milliseconds that the caller still waits
 * @param expectedInstance incarnation that alone may run the request
 * @param callerService service of the VM on which the request originated
 * @param notExecuted marks an answer of a server that did not run the request
 * @param signature marks an answer that a server made itself
 */
public record CallHeaders(String requestId, String deadline, String expectedInstance, String callerService,
		String notExecuted, String signature) {

	public CallHeaders {
		Objects.requireNonNull(requestId, "requestId");
		Objects.requireNonNull(deadline, "deadline");
		Objects.requireNonNull(expectedInstance, "expectedInstance");
		Objects.requireNonNull(callerService, "callerService");
		Objects.requireNonNull(notExecuted, "notExecuted");
		Objects.requireNonNull(signature, "signature");
	}

}
