package org.wasabicart.node.peer;

/**
 * Receives the response of one call.
 */
@FunctionalInterface
public interface CallListener {

	/**
	 * Invoked when the call has ended.
	 * @param response response of the peer, or one that the transport produced without it
	 */
	void finished(CallResponse response);

}
