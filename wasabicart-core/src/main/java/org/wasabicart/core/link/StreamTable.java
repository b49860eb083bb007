package org.wasabicart.core.link;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Open streams of one link. A stream number is used once per epoch, so a late, repeated
 * or reordered frame reaches its own stream or none. Safe for use by several threads.
 * <p>
 * Example: {@code long stream = table.open(call).orElseThrow();}
 *
 * @param <T> value that the owner keeps for each stream
 */
public final class StreamTable<T> {

	private final long epoch;

	private final int maximumStreams;

	private final Map<Long, T> streams = new LinkedHashMap<>();

	private long lastStream;

	private boolean closed;

	/**
	 * Creates a table.
	 * @param epoch epoch of the link
	 * @param maximumStreams maximum number of streams open at once
	 */
	public StreamTable(long epoch, int maximumStreams) {
		if (maximumStreams < 1) {
			throw new IllegalArgumentException("maximumStreams must be at least 1: " + maximumStreams);
		}
		this.epoch = epoch;
		this.maximumStreams = maximumStreams;
	}

	/**
	 * Returns the epoch of the link.
	 * @return the epoch
	 */
	public long epoch() {
		return this.epoch;
	}

	/**
	 * Opens a stream under the next number.
	 * @param value what to keep for the stream
	 * @return the stream number, or empty if the table is full or closed
	 */
	public synchronized OptionalLong open(T value) {
		Objects.requireNonNull(value, "value");
		if (this.closed || this.streams.size() >= this.maximumStreams) {
			return OptionalLong.empty();
		}
		this.lastStream++;
		this.streams.put(this.lastStream, value);
		return OptionalLong.of(this.lastStream);
	}

	/**
	 * Accepts a stream that the peer opened. Stream numbers only increase, so a repeated
	 * or reordered opening is not accepted.
	 * @param frameEpoch epoch of the frame
	 * @param stream stream number of the frame
	 * @param value what to keep for the stream
	 * @return whether the stream was accepted, or why not
	 */
	public synchronized StreamAcceptance accept(long frameEpoch, long stream, T value) {
		Objects.requireNonNull(value, "value");
		if (this.closed || frameEpoch != this.epoch || stream <= this.lastStream) {
			return StreamAcceptance.STALE;
		}
		this.lastStream = stream;
		if (this.streams.size() >= this.maximumStreams) {
			return StreamAcceptance.FULL;
		}
		this.streams.put(stream, value);
		return StreamAcceptance.ACCEPTED;
	}

	/**
	 * Returns what is kept for a stream.
	 * @param frameEpoch epoch of the frame
	 * @param stream stream number of the frame
	 * @return the value, or empty if the stream is not open under this epoch
	 */
	public synchronized Optional<T> get(long frameEpoch, long stream) {
		return (frameEpoch != this.epoch) ? Optional.empty() : Optional.ofNullable(this.streams.get(stream));
	}

	/**
	 * Ends a stream. Of several attempts to end it, one succeeds.
	 * @param frameEpoch epoch of the frame
	 * @param stream stream number of the frame
	 * @return the value, or empty if the stream is not open under this epoch
	 */
	public synchronized Optional<T> remove(long frameEpoch, long stream) {
		return (frameEpoch != this.epoch) ? Optional.empty() : Optional.ofNullable(this.streams.remove(stream));
	}

	/**
	 * Ends all streams and opens no more.
	 * @return the values of the streams that were open, in the order in which they were
	 * opened
	 */
	public synchronized List<T> close() {
		this.closed = true;
		List<T> open = new ArrayList<>(this.streams.values());
		this.streams.clear();
		return open;
	}

	/**
	 * Returns the number of open streams.
	 * @return number of streams
	 */
	public synchronized int size() {
		return this.streams.size();
	}

}
