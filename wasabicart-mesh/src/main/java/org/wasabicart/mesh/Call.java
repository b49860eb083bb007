package org.wasabicart.mesh;

/**
 * One call for a backend server.
 *
 * @param requestId id of the caller's attempt
 * @param method HTTP method
 * @param target path with query, unchanged
 * @param headers header fields that are passed through
 * @param body whole body; not copied, must not be modified
 * @param deadline time in nanoseconds at which the caller stops waiting
 * @param instance incarnation of the server that may run the call
 * @param callerService service beside the entry node
 * @param idempotent whether the call may run more than once
 * @param priority rank of the route; 0 is the highest
 * @param latestStart time in nanoseconds until which the call may wait for a slot
 * @param route name of the route
 */
record Call(String requestId, String method, String target, HeaderBlock headers, byte[] body, long deadline,
		String instance, String callerService, boolean idempotent, int priority, long latestStart, String route) {

	/**
	 * Returns the same call for one incarnation of a server.
	 * @param expected incarnation that may run the call
	 * @return the call
	 */
	Call at(String expected) {
		return new Call(this.requestId, this.method, this.target, this.headers, this.body, this.deadline, expected,
				this.callerService, this.idempotent, this.priority, this.latestStart, this.route);
	}

}
