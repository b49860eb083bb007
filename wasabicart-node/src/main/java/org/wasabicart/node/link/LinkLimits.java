package org.wasabicart.node.link;

import java.time.Duration;
import java.util.Objects;

/**
 * Sizes and times of links.
 *
 * @param chunkBytes most bytes of one chunk
 * @param windowBytes bytes of one body that may be under way without a further grant
 * @param maximumHeadBytes most bytes of the head of a call or response
 * @param maximumBodyBytes most bytes of one body
 * @param bufferBytes most bytes of all bodies that are being received by one transport
 * @param maximumStreams most open streams per link
 * @param maximumInboundLinks most links that peers may have open to this node
 * @param connectTimeout time to connect, including the handshake
 * @param idleTimeout time after which a link without streams is closed
 */
public record LinkLimits(int chunkBytes, int windowBytes, int maximumHeadBytes, int maximumBodyBytes, long bufferBytes,
		int maximumStreams, int maximumInboundLinks, Duration connectTimeout, Duration idleTimeout) {

	/** Limits of a node with 256 MB. */
	public static final LinkLimits DEFAULT = new LinkLimits(16 * 1024, 64 * 1024, 64 * 1024, 4 * 1024 * 1024,
			16 * 1024 * 1024, 4096, 2048, Duration.ofMillis(900), Duration.ofSeconds(60));

	/** Room in a frame beyond a head or a chunk for the fields around it. */
	private static final int FRAME_OVERHEAD_BYTES = 1024;

	public LinkLimits {
		Objects.requireNonNull(connectTimeout, "connectTimeout");
		Objects.requireNonNull(idleTimeout, "idleTimeout");
		if (chunkBytes < 1 || windowBytes < 1 || maximumHeadBytes < 1 || maximumBodyBytes < 1 || bufferBytes < 1
				|| maximumStreams < 1 || maximumInboundLinks < 1) {
			throw new IllegalArgumentException("Limits of links must be at least 1");
		}
	}

	int maximumFrameBytes() {
		return Math.max(this.chunkBytes, this.maximumHeadBytes) + FRAME_OVERHEAD_BYTES;
	}

}
