package org.wasabicart.mesh;

import java.util.List;

import org.wasabicart.wire.generated.mesh.MeshHeader;

/**
 * Answer to a caller.
 *
 * @param status HTTP status
 * @param headers header fields without those of the connection
 * @param body whole body
 */
record EntryAnswer(int status, List<MeshHeader> headers, byte[] body) {

	private static final byte[] NO_BODY = {};

	static EntryAnswer own(int status) {
		return new EntryAnswer(status, List.of(), NO_BODY);
	}

	static EntryAnswer own(int status, MeshHeader header) {
		return new EntryAnswer(status, List.of(header), NO_BODY);
	}

}
