package org.wasabicart.mesh;

import java.util.Objects;

import org.wasabicart.core.mesh.BackendIncarnation;
import org.wasabicart.core.mesh.ServerState;
import org.wasabicart.core.model.ServiceName;

/**
 * Heartbeat of a backend server.
 *
 * @param instance id of the server
 * @param born start of the server's incarnation, in milliseconds since the epoch; 0 if
 * unknown
 * @param sequence sequence number of the heartbeat within the incarnation
 * @param service service that the server runs
 * @param slots number of requests that the server can run concurrently
 * @param state whether the server accepts new requests
 */
public record BackendAnnouncement(String instance, long born, long sequence, ServiceName service, int slots,
		ServerState state) {

	public BackendAnnouncement {
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(state, "state");
		if (slots < 1) {
			throw new IllegalArgumentException("slots of a server must be at least 1: " + instance);
		}
	}

	/**
	 * Returns the run of the server.
	 * @return the incarnation
	 */
	public BackendIncarnation incarnation() {
		return new BackendIncarnation(this.instance, this.born);
	}

}
