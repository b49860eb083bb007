package org.wasabicart.core.link;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Interleaves bodies on a link round-robin, one chunk per stream, within the window that
 * the receiver granted to each stream. Not safe for use by several threads.
 */
public final class ChunkScheduler {

	private final int chunkBytes;

	private final int windowBytes;

	/** Streams that can send now, in round-robin order. */
	private final Map<Long, Progress> ready = new LinkedHashMap<>();

	/** Streams whose window is used up. */
	private final Map<Long, Progress> blocked = new LinkedHashMap<>();

	/**
	 * Creates a scheduler.
	 * @param chunkBytes maximum bytes of one chunk
	 * @param windowBytes initial window of each stream
	 */
	public ChunkScheduler(int chunkBytes, int windowBytes) {
		if (chunkBytes < 1 || windowBytes < 1) {
			throw new IllegalArgumentException("chunkBytes and windowBytes must be at least 1");
		}
		this.chunkBytes = chunkBytes;
		this.windowBytes = windowBytes;
	}

	/**
	 * Adds a body.
	 * @param stream stream number
	 * @param bodyBytes length of the body, zero or more
	 */
	public void add(long stream, int bodyBytes) {
		if (bodyBytes < 0 || this.ready.containsKey(stream) || this.blocked.containsKey(stream)) {
			throw new IllegalArgumentException(
					"bodyBytes must not be negative and the stream must not have a body yet: stream " + stream);
		}
		this.ready.put(stream, new Progress(bodyBytes, this.windowBytes));
	}

	/**
	 * Widens the window of a stream. Grants to an unknown stream have no effect.
	 * @param stream stream number
	 * @param bytes additional bytes that the receiver accepts; values below one have no
	 * effect
	 */
	public void grant(long stream, int bytes) {
		if (bytes < 1) {
			return;
		}
		Progress waiting = this.blocked.remove(stream);
		if (waiting != null) {
			this.ready.put(stream, waiting);
		}
		Progress progress = this.ready.get(stream);
		if (progress != null) {
			progress.window = (int) Math.min(Integer.MAX_VALUE, (long) progress.window + bytes);
		}
	}

	/**
	 * Discards the unsent rest of a body.
	 * @param stream stream number
	 */
	public void remove(long stream) {
		this.ready.remove(stream);
		this.blocked.remove(stream);
	}

	/**
	 * Returns the next part to send.
	 * @return the part, or empty if no stream can send
	 */
	public Optional<ChunkSlice> next() {
		if (this.ready.isEmpty()) {
			return Optional.empty();
		}
		long stream = this.ready.keySet().iterator().next();
		Progress progress = this.ready.remove(stream);
		int length = Math.min(this.chunkBytes, Math.min(progress.window, progress.bodyBytes - progress.sent));
		ChunkSlice slice = new ChunkSlice(stream, progress.sent, length, progress.sent + length == progress.bodyBytes);
		progress.sent += length;
		progress.window -= length;
		if (!slice.end()) {
			((progress.window > 0) ? this.ready : this.blocked).put(stream, progress);
		}
		return Optional.of(slice);
	}

	/**
	 * Returns the number of bodies that are not completely sent.
	 * @return number of bodies
	 */
	public int size() {
		return this.ready.size() + this.blocked.size();
	}

	private static final class Progress {

		private final int bodyBytes;

		private int window;

		private int sent;

		Progress(int bodyBytes, int window) {
			this.bodyBytes = bodyBytes;
			this.window = window;
		}

	}

}
