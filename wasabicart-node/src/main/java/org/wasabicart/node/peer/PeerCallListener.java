package org.wasabicart.node.peer;

/**
 * Receives the response of one call.
 */
@FunctionalInterface
public interface PeerCallListener {

	/**
	 * The call has ended.
	 * @param response response of the peer, or the transport's own outcome
	 */
	void finished(CallResponse response);

}
