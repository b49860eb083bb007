package org.wasabicart.mesh;

/**
 * Response to a caller.
 *
 * @param status HTTP status
 * @param headers header fields without connection-specific ones
 * @param body complete body
 */
record EntryResponse(int status, HeaderBlock headers, byte[] body) {

	private static final byte[] NO_BODY = {};

	static EntryResponse withoutBody(int status) {
		return new EntryResponse(status, HeaderBlock.EMPTY, NO_BODY);
	}

	static EntryResponse withoutBody(int status, HeaderBlock headers) {
		return new EntryResponse(status, headers, NO_BODY);
	}

}
