package org.wasabicart.mesh;

/**
 * Answer to a caller.
 *
 * @param status HTTP status
 * @param headers header fields without those of the connection
 * @param body whole body
 */
record EntryAnswer(int status, HeaderBlock headers, byte[] body) {

	private static final byte[] NO_BODY = {};

	static EntryAnswer own(int status) {
		return new EntryAnswer(status, HeaderBlock.EMPTY, NO_BODY);
	}

	static EntryAnswer own(int status, HeaderBlock headers) {
		return new EntryAnswer(status, headers, NO_BODY);
	}

}
