package org.wasabicart.core.link;

/**
 * Result of accepting a stream that the peer opened.
 */
public enum StreamAcceptance {

	/** The stream is open. */
	ACCEPTED,

	/** The table is full; the stream is not open, but its number counts as used. */
	FULL,

	/** The number or a higher one was used, the epoch differs, or the table is closed. */
	STALE

}
