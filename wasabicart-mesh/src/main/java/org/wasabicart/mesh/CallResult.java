package org.wasabicart.mesh;

import org.wasabicart.core.mesh.GateRefusal;

/**
 * Result of a call.
 */
sealed interface CallResult {

	/**
	 * The server has responded.
	 *
	 * @param status HTTP status of the response
	 * @param headers header fields of the response
	 * @param body complete body
	 */
	record Answered(int status, HeaderBlock headers, byte[] body) implements CallResult {

	}

	/**
	 * The call has not run and will not run.
	 *
	 * @param reason reason for the refusal
	 * @param offered whether it was sent to the server, which refused it
	 */
	record Refused(GateRefusal reason, boolean offered) implements CallResult {

	}

	/**
	 * The call may have run.
	 *
	 * @param reason reason for logs
	 */
	record Failed(String reason) implements CallResult {

	}

}
