package org.wasabicart.mesh;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Collects a body of unknown length. The bytes are copied, so that a body that arrives in
 * many small parts takes no more memory than its size, and does not retain the buffers
 * that the parts were read into.
 */
final class BodyAccumulator {

	private static final byte[] EMPTY = {};

	private static final int MINIMUM_BLOCK_BYTES = 2 * 1024;

	private static final int MAXIMUM_BLOCK_BYTES = 64 * 1024;

	private final List<byte[]> fullBlocks = new ArrayList<>();

	private byte[] block = EMPTY;

	private int blockLength;

	private int size;

	int size() {
		return this.size;
	}

	/**
	 * Appends the readable bytes of a buffer, which is not released.
	 * @param source buffer
	 */
	void append(ByteBuf source) {
		while (source.isReadable()) {
			if (this.blockLength == this.block.length) {
				startBlock(source.readableBytes());
			}
			int length = Math.min(source.readableBytes(), this.block.length - this.blockLength);
			source.readBytes(this.block, this.blockLength, length);
			this.blockLength += length;
			this.size += length;
		}
	}

	private void startBlock(int needed) {
		if (this.blockLength > 0) {
			this.fullBlocks.add(this.block);
		}
		int capacity = Math.max(needed, Math.min(MAXIMUM_BLOCK_BYTES, Math.max(MINIMUM_BLOCK_BYTES, this.size)));
		this.block = new byte[capacity];
		this.blockLength = 0;
	}

	/**
	 * Returns the collected bytes and starts an empty body.
	 * @return the bytes
	 */
	byte[] take() {
		byte[] bytes = EMPTY;
		if (this.fullBlocks.isEmpty() && this.blockLength == this.block.length) {
			bytes = this.block;
		}
		else {
			bytes = new byte[this.size];
			int position = 0;
			for (byte[] full : this.fullBlocks) {
				System.arraycopy(full, 0, bytes, position, full.length);
				position += full.length;
			}
			System.arraycopy(this.block, 0, bytes, position, this.blockLength);
		}
		clear();
		return bytes;
	}

	/**
	 * Discards the collected bytes.
	 */
	void clear() {
		this.fullBlocks.clear();
		this.block = EMPTY;
		this.blockLength = 0;
		this.size = 0;
	}

}
