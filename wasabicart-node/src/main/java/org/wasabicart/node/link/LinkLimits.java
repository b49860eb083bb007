package org.wasabicart.node.link;

import java.time.Duration;
import java.util.Objects;

/**
 * Size limits and timeouts of links.
 *
 * @param chunkBytes maximum size of one chunk
 * @param windowBytes initial flow control window: bytes of one body that may be sent
 * before the receiver grants more
 * @param maximumHeadBytes maximum size of the head of a call or response
 * @param maximumBodyBytes maximum size of one body
 * @param bufferBytes maximum total size of the bodies that one transport is receiving
 * @param maximumStreams maximum number of open streams per link, and of streams that wait
 * for a link to one peer
 * @param maximumInboundLinks maximum number of links that peers have open to this node
 * @param connectTimeout time to connect, including the handshake
 * @param idleTimeout time after which a link without streams is closed
 */
public record LinkLimits(int chunkBytes, int windowBytes, int maximumHeadBytes, int maximumBodyBytes, long bufferBytes,
		int maximumStreams, int maximumInboundLinks, Duration connectTimeout, Duration idleTimeout) {

	/** Limits for a node with 256 MB of memory. */
	public static final LinkLimits DEFAULT = new LinkLimits(16 * 1024, 64 * 1024, 64 * 1024, 4 * 1024 * 1024,
			16 * 1024 * 1024, 4096, 2048, Duration.ofMillis(900), Duration.ofSeconds(60));

	/** Allowance for the fields of a frame around its head or the data of its chunk. */
	private static final int FRAME_OVERHEAD_BYTES = 1024;

	public LinkLimits {
		Objects.requireNonNull(connectTimeout, "connectTimeout");
		Objects.requireNonNull(idleTimeout, "idleTimeout");
		if (chunkBytes < 1 || windowBytes < 1 || maximumHeadBytes < 1 || maximumBodyBytes < 1 || bufferBytes < 1
				|| maximumStreams < 1 || maximumInboundLinks < 1) {
			throw new IllegalArgumentException("Byte, stream and link limits must be at least 1");
		}
	}

	int maximumFrameBytes() {
		return Math.max(this.chunkBytes, this.maximumHeadBytes) + FRAME_OVERHEAD_BYTES;
	}

}
