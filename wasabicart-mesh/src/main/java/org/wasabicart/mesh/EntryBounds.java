package org.wasabicart.mesh;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on what callers may make a node hold. The bounds on a head are added to the
 * limits of the configuration, so that no caller within these limits meets them.
 *
 * @param headRoomBytes bytes by which a head may exceed the configuration's limit
 * @param headLines maximum number of header lines of a request, unless the limit of the
 * configuration has room for more
 * @param leadingBytes maximum number of bytes, such as empty lines, in front of a request
 * line
 * @param headTimeRoom time by which a head may exceed the configuration's timeout
 * @param connections maximum number of open connections
 */
public record EntryBounds(int headRoomBytes, int headLines, int leadingBytes, Duration headTimeRoom, int connections) {

	/**
	 * Lines by which a head may exceed those that the limit on its bytes has room for.
	 */
	private static final int HEAD_LINE_ROOM = 900;

	/** Bytes of the shortest header line, which has a name of one character. */
	private static final int SHORTEST_LINE_BYTES = 4;

	/**
	 * Default bounds. A head of 16,384 bytes has at most 4,096 lines. A process may open
	 * 4,100 descriptors, and a fleet of 680 nodes needs two for each of 679 links.
	 */
	public static final EntryBounds DEFAULT = new EntryBounds(8 * 1024, 5000, 1024, Duration.ofSeconds(1), 2500);

	public EntryBounds {
		Objects.requireNonNull(headTimeRoom, "headTimeRoom");
		if (headRoomBytes < 0 || headLines < 1 || leadingBytes < 0 || headTimeRoom.isNegative() || connections < 1) {
			throw new IllegalArgumentException("Bounds must be positive");
		}
	}

	/**
	 * Returns the maximum number of header lines of a request.
	 * @param headerBytes limit of the configuration on the bytes of a head
	 * @return the number
	 */
	int headLines(int headerBytes) {
		return Math.max(this.headLines, headerBytes / SHORTEST_LINE_BYTES + HEAD_LINE_ROOM);
	}

}
