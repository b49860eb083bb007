package org.wasabicart.core.mesh;

/**
 * Whether a backend server takes new work, as announced by the server or its node.
 */
public enum ServerState {

	/** Takes new work. */
	READY,

	/** Takes no new work, since the node beside it stops; the server may return. */
	DRAINING,

	/** Is leaving: this incarnation takes no new work again. */
	LEAVING

}
