package org.wasabicart.core.link;

/**
 * Health of a link with open streams.
 */
public enum LinkHealth {

	/** Frames have arrived recently. */
	HEALTHY,

	/** A heartbeat was missed: new calls use a new connection. */
	SUSPECT,

	/** No frame has arrived for too long: the link is given up. */
	SILENT

}
