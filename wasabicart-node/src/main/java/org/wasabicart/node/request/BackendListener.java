package org.wasabicart.node.request;

import org.wasabicart.core.admission.CallSample;
import org.wasabicart.node.peer.CallResponse;

/**
 * Receives the response and the end of one call to the backend server. These are separate
 * events, because the backend server may still run the call when its deadline passes or
 * its caller cancels it.
 */
public interface BackendListener {

	/**
	 * Reports the response to pass on to the caller. Invoked exactly once.
	 * @param response response of the backend server, or the refusal, failure or unknown
	 * outcome of a call without one
	 */
	void responseReceived(CallResponse response);

	/**
	 * Reports that the backend server no longer runs the call. Invoked exactly once.
	 * @param sample measurement of the call
	 */
	void callEnded(CallSample sample);

}
