package org.wasabicart.node.link;

/**
 * Side of a link. The ordinal is part of the handshake proof, so the order of the
 * constants must not change.
 */
enum LinkRole {

	/** Opened the connection, and opens its streams. */
	CLIENT,

	/** Accepted the connection, and serves its streams. */
	SERVER

}
