package org.wasabicart.core.membership;

/**
 * Purpose of a message. Each message can carry updates as well.
 */
public enum MessageType {

	/** Asks the target for an acknowledgement. */
	PING,

	/** Asks the receiver to probe the target on behalf of the sender. */
	PING_REQUEST,

	/** Answers a ping or a ping request. */
	ACKNOWLEDGEMENT,

	/** Carries updates only, and the sender's revision. */
	GOSSIP,

	/** Asks for the records that follow a cursor in the order of node ids. */
	STATE_REQUEST,

	/** Answers a state request with one page of records. */
	STATE_PAGE,

	/** Carries bucket digests; the receiver answers with the records that differ. */
	DIGEST,

	/**
	 * Answers a digest with differing records and the own bucket digests.
	 */
	DIGEST_REPLY

}
