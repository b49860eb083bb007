package org.wasabicart.mesh;

import java.util.Objects;

import org.wasabicart.core.mesh.BackendIncarnation;
import org.wasabicart.core.mesh.MeshMember;
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
 * @param slots number of requests that the server can run concurrently, 1 to
 * {@link MeshMember#MAXIMUM_SLOTS}
 * @param state whether the server accepts new requests
 */
public record BackendAnnouncement(String instance, long born, long sequence, ServiceName service, int slots,
		ServerState state) {

	/** Largest integer that all JSON implementations represent exactly. */
	private static final long MAXIMUM_SEQUENCE = (1L << 53) - 1;

	public BackendAnnouncement {
		BackendIncarnation.requireValid(instance, born);
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(state, "state");
		if (slots < 1 || slots > MeshMember.MAXIMUM_SLOTS) {
			throw new IllegalArgumentException("slots of a server are out of range: " + slots);
		}
		if (sequence < 0 || sequence > MAXIMUM_SEQUENCE) {
			throw new IllegalArgumentException("sequence is out of range: " + sequence);
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
