package org.wasabicart.core.link;

/**
 * How the opening of a stream by the other side was taken.
 */
public enum StreamAcceptance {

	/** The stream is open. */
	ACCEPTED,

	/** The table is full; the stream is not open and its number is used. */
	FULL,

	/** The number was used before, or the epoch is another one. */
	STALE

}
