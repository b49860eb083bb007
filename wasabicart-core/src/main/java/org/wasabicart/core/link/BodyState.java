package org.wasabicart.core.link;

/**
 * State of a body while its chunks arrive.
 */
public enum BodyState {

	/** More chunks follow. */
	PARTIAL,

	/** The body is whole. */
	COMPLETE,

	/** The chunks do not match the announced length; the body must not be used. */
	INVALID

}
