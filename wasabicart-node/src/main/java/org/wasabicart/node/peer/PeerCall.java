package org.wasabicart.node.peer;

/**
 * One call that was sent to a peer.
 */
@FunctionalInterface
public interface PeerCall {

	/**
	 * Cancels the call. Has no effect once the call has ended.
	 */
	void cancel();

}
