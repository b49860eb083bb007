package org.wasabicart.node.request;

import org.wasabicart.core.admission.CallSample;
import org.wasabicart.node.peer.CallResponse;

/**
 * Receives what becomes of one call to the backend server. The two events come apart when
 * the deadline passes or the caller cancels while the backend server still runs the call.
 */
public interface BackendListener {

	/**
	 * The response to pass on. Invoked exactly once.
	 * @param response response
	 */
	void responded(CallResponse response);

	/**
	 * The backend server is done with the call. Invoked exactly once.
	 * @param sample what was observed
	 */
	void ended(CallSample sample);

}
