package org.wasabicart.mesh;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Header fields that count their lines and what they cost in memory. Short lines cost
 * many times their bytes on the wire.
 */
final class CountedHeaders extends DefaultHttpHeaders {

	/**
	 * Memory of one line besides its characters: an entry of 40 bytes, and two strings of
	 * 24 bytes with an array of 16 bytes each, rounded up.
	 */
	private static final int LINE_COST_BYTES = 128;

	/** Bytes of a line on the wire besides name and value. */
	private static final int LINE_SEPARATOR_BYTES = 4;

	private int lines;

	private long characters;

	@Override
	public HttpHeaders add(CharSequence name, Object value) {
		count(name, value);
		return super.add(name, value);
	}

	@Override
	public HttpHeaders add(String name, Object value) {
		count(name, value);
		return super.add(name, value);
	}

	private void count(CharSequence name, Object value) {
		this.lines++;
		this.characters += name.length() + ((value instanceof CharSequence text) ? text.length() : 0);
	}

	int lines() {
		return this.lines;
	}

	/**
	 * Returns the number of bytes that the lines take in a message.
	 * @return the number
	 */
	long messageBytes() {
		return this.characters + (long) this.lines * LINE_SEPARATOR_BYTES;
	}

	/**
	 * Returns the memory that decoded lines take.
	 * @return the number of bytes
	 */
	long costBytes() {
		return this.characters + (long) this.lines * LINE_COST_BYTES;
	}

	/**
	 * Returns the memory that the header fields of a message take.
	 * @param headers header fields
	 * @return the number of bytes, or 0 if they were not counted
	 */
	static long costBytes(HttpHeaders headers) {
		return (headers instanceof CountedHeaders counted) ? counted.costBytes() : 0;
	}

	/**
	 * Returns the number of bytes that the header fields take in a message.
	 * @param headers header fields
	 * @return the number of bytes, or 0 if they were not counted
	 */
	static long messageBytes(HttpHeaders headers) {
		return (headers instanceof CountedHeaders counted) ? counted.messageBytes() : 0;
	}

}
