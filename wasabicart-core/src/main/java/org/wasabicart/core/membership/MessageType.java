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

	/** Carries updates only, besides the sender's revision and digest. */
	GOSSIP,

	/** Asks for the records that follow a cursor in the order of node ids. */
	STATE_REQUEST,

	/** Answers a state request with one page of records. */
	STATE_PAGE,

	/** Carries bucket digests, which the receiver compares with its own. */
	DIGEST,

	/**
	 * Answers a digest with the numbers of the differing buckets and updates from them.
	 */
	DIGEST_REPLY

}
