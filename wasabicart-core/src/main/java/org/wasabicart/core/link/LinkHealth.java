package org.wasabicart.core.link;

/**
 * Health of a link with open streams.
 */
public enum LinkHealth {

	/** Frames arrive. */
	HEALTHY,

	/** A heartbeat was missed: new work takes a new connection. */
	SUSPECT,

	/** The link is given up. */
	SILENT

}
