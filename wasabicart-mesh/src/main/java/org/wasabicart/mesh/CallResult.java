package org.wasabicart.mesh;

import org.wasabicart.core.mesh.GateRefusal;

/**
 * Outcome of one call.
 */
sealed interface CallResult {

	/**
	 * The server answered.
	 *
	 * @param status status of the server
	 * @param headers header fields of the server
	 * @param body whole body
	 */
	record Answered(int status, HeaderBlock headers, byte[] body) implements CallResult {

	}

	/**
	 * The call has not run and will not run.
	 *
	 * @param reason reason
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
