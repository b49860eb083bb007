package org.wasabicart.core.link;

import java.util.Objects;

/**
 * Reassembles one body from its chunks. The body is complete only with the end marker and
 * exactly the announced length. Not safe for use by several threads.
 */
public final class BodyAssembler {

	private final byte[] body;

	private final int windowBytes;

	private int received;

	private int ungranted;

	private boolean ended;

	/**
	 * Creates an assembler.
	 * @param bodyBytes announced length
	 * @param windowBytes initial window of the sender
	 */
	public BodyAssembler(int bodyBytes, int windowBytes) {
		this.body = new byte[bodyBytes];
		this.windowBytes = windowBytes;
	}

	/**
	 * Adds a chunk. A chunk at any position but the next one makes the body invalid, so a
	 * repeated, lost or reordered chunk of the same length cannot go unnoticed.
	 * @param offset position of the chunk within the body
	 * @param data bytes of the chunk
	 * @param end whether the sender marked it as the last one
	 * @return state of the body after the chunk
	 */
	public BodyState add(long offset, byte[] data, boolean end) {
		Objects.requireNonNull(data, "data");
		boolean fits = offset == this.received && data.length <= this.body.length - this.received;
		if (this.ended || !fits || (end && this.received + data.length != this.body.length)) {
			this.ended = true;
			return BodyState.INVALID;
		}
		System.arraycopy(data, 0, this.body, this.received, data.length);
		this.received += data.length;
		this.ungranted += data.length;
		this.ended = end;
		return end ? BodyState.COMPLETE : BodyState.PARTIAL;
	}

	/**
	 * Returns by how many bytes to widen the sender's window now, and counts them as
	 * granted. Half a window is collected first, so that few updates are sent.
	 * @return number of bytes, or zero
	 */
	public int takeGrant() {
		if (this.ended || this.ungranted < (this.windowBytes + 1) / 2) {
			return 0;
		}
		int grant = this.ungranted;
		this.ungranted = 0;
		return grant;
	}

	/**
	 * Returns the body.
	 * @return the body; not copied, whole only after {@link BodyState#COMPLETE}
	 */
	public byte[] body() {
		return this.body;
	}

}
