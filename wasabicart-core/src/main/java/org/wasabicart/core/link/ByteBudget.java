package org.wasabicart.core.link;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory of bodies that are being received. Safe for use by several threads.
 */
public final class ByteBudget {

	private final long maximumBytes;

	private final AtomicLong reserved = new AtomicLong();

	/**
	 * Creates a budget.
	 * @param maximumBytes most bytes that may be reserved at once
	 */
	public ByteBudget(long maximumBytes) {
		if (maximumBytes < 1) {
			throw new IllegalArgumentException("maximumBytes must be at least 1: " + maximumBytes);
		}
		this.maximumBytes = maximumBytes;
	}

	/**
	 * Reserves bytes.
	 * @param bytes number of bytes, zero or more
	 * @return whether they were reserved
	 */
	public boolean reserve(int bytes) {
		while (true) {
			long current = this.reserved.get();
			if (current + bytes > this.maximumBytes) {
				return false;
			}
			if (this.reserved.compareAndSet(current, current + bytes)) {
				return true;
			}
		}
	}

	/**
	 * Releases reserved bytes.
	 * @param bytes number of bytes that were reserved
	 */
	public void release(int bytes) {
		this.reserved.addAndGet(-bytes);
	}

	/**
	 * Returns the number of reserved bytes.
	 * @return number of bytes
	 */
	public long reserved() {
		return this.reserved.get();
	}

}
