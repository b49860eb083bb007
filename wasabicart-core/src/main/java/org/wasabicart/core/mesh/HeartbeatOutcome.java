package org.wasabicart.core.mesh;

/**
 * What a heartbeat says compared with the ones before it.
 */
public enum HeartbeatOutcome {

	/** It describes the server as it is now. */
	CURRENT,

	/** A later heartbeat of the same run of the server has arrived before it. */
	OVERTAKEN,

	/** It comes from an earlier run than the latest one. */
	EARLIER_RUN,

	/** It names a service that the server on this VM does not run. */
	OTHER_SERVICE;

	/**
	 * Returns whether the node follows what the heartbeat says, so that it may be
	 * acknowledged.
	 * @return whether the heartbeat takes effect
	 */
	public boolean acknowledged() {
		return this == CURRENT || this == OVERTAKEN;
	}

}
