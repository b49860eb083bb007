package org.wasabicart.node.peer;

import java.util.List;
import java.util.Objects;

import org.wasabicart.core.model.Outcome;

/**
 * Outcome of one call, with the whole body of the response.
 *
 * @param outcome how the call ended
 * @param unspentRetryAllowance reserved retries that were not used
 * @param thresholds admission thresholds of the services that the call reached
 * @param headers header fields that are forwarded
 * @param body whole body, empty unless the outcome is completed; not copied, must not be
 * modified
 */
public record CallResponse(Outcome outcome, int unspentRetryAllowance, List<ServiceThreshold> thresholds,
		List<HttpHeaderField> headers, byte[] body) {

	private static final byte[] NO_BODY = {};

	public CallResponse {
		Objects.requireNonNull(outcome, "outcome");
		thresholds = List.copyOf(thresholds);
		headers = List.copyOf(headers);
		Objects.requireNonNull(body, "body");
	}

	/**
	 * Creates a response without headers, thresholds and body.
	 * @param outcome outcome
	 * @param unspentRetryAllowance reserved retries that were not used
	 * @return the response
	 */
	public static CallResponse withoutBody(Outcome outcome, int unspentRetryAllowance) {
		return new CallResponse(outcome, unspentRetryAllowance, List.of(), List.of(), NO_BODY);
	}

}
