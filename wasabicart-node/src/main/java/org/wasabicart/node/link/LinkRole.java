package org.wasabicart.node.link;

/**
 * Side of a link.
 */
enum LinkRole {

	/** Opened the connection, and opens its streams. */
	CLIENT,

	/** Accepted the connection, and serves its streams. */
	SERVER

}
