package org.wasabicart.mesh;

import java.util.HashSet;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * End-to-end header fields of a message as in HTTP/1.1: one line each, terminated by CR
 * LF. The node that receives a message validates its fields. Later hops only check that
 * the lines do not end the head and forward them, since decoding and encoding each field
 * again at every hop takes a large part of the CPU time of a call.
 */
final class HeaderBlock {

	static final HeaderBlock EMPTY = new HeaderBlock(new byte[0]);

	/** Hop-by-hop fields, and fields that each node handles itself. */
	private static final Set<String> HOP_BY_HOP_FIELDS = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	/** Initial buffer capacity; a typical block fits. */
	private static final int INITIAL_BLOCK_BYTES = 512;

	private static final int CR_LF = '\r' << 8 | '\n';

	private static final int COLON_SPACE = ':' << 8 | ' ';

	private final byte[] lines;

	private HeaderBlock(byte[] lines) {
		this.lines = lines;
	}

	/**
	 * Returns the header fields that are forwarded with the message.
	 * @param headers all header fields, validated by the decoder
	 * @param excluded lower-case names of further fields to leave out
	 * @return the header fields
	 */
	static HeaderBlock endToEnd(HttpHeaders headers, Set<String> excluded) {
		Set<String> connectionOptions = connectionOptions(headers);
		ByteBuf block = Unpooled.buffer(INITIAL_BLOCK_BYTES);
		for (Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence(); entries
			.hasNext();) {
			Map.Entry<CharSequence, CharSequence> entry = entries.next();
			String lowerCase = entry.getKey().toString().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP_FIELDS.contains(lowerCase) && !excluded.contains(lowerCase)
					&& !connectionOptions.contains(lowerCase)) {
				writeField(block, entry.getKey(), entry.getValue());
			}
		}
		return new HeaderBlock(ByteBufUtil.getBytes(block));
	}

	private static Set<String> connectionOptions(HttpHeaders headers) {
		if (!headers.contains(HttpHeaderNames.CONNECTION)) {
			return Set.of();
		}
		Set<String> names = new HashSet<>();
		for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				names.add(name.strip().toLowerCase(Locale.ROOT));
			}
		}
		return names;
	}

	/**
	 * Returns a block with one header field.
	 * @param name name
	 * @param value value
	 * @return the header field
	 * @throws IllegalArgumentException if the name or the value would end the line
	 */
	static HeaderBlock of(CharSequence name, CharSequence value) {
		ByteBuf block = Unpooled.buffer(name.length() + value.length() + 4);
		writeField(block, name, value);
		return new HeaderBlock(ByteBufUtil.getBytes(block));
	}

	/**
	 * Returns a copy of this block with one more header field.
	 * @param name name
	 * @param value value
	 * @return the header fields
	 * @throws IllegalArgumentException if the name or the value would end the line
	 */
	HeaderBlock with(CharSequence name, CharSequence value) {
		ByteBuf block = Unpooled.buffer(this.lines.length + name.length() + value.length() + 4);
		block.writeBytes(this.lines);
		writeField(block, name, value);
		return new HeaderBlock(ByteBufUtil.getBytes(block));
	}

	/**
	 * Returns a block of lines that another node has sent.
	 * @param lines lines, each with its line break
	 * @return the header fields
	 * @throws IllegalArgumentException if the lines are not complete header lines
	 */
	static HeaderBlock of(ByteString lines) {
		if (lines.isEmpty()) {
			return EMPTY;
		}
		byte[] bytes = lines.toByteArray();
		HeadSyntax.requireHeaderLines(bytes);
		return new HeaderBlock(bytes);
	}

	ByteString toByteString() {
		return UnsafeByteOperations.unsafeWrap(this.lines);
	}

	/**
	 * Returns the total size of the lines.
	 * @return the size in bytes
	 */
	int size() {
		return this.lines.length;
	}

	void writeTo(ByteBuf message) {
		message.writeBytes(this.lines);
	}

	/**
	 * Writes one header field.
	 * @param message message to append the field to
	 * @param name name
	 * @param value value
	 * @throws IllegalArgumentException if the name or the value would end the line
	 */
	static void writeField(ByteBuf message, CharSequence name, CharSequence value) {
		HeadSyntax.requireLine("Name of a header field", name);
		HeadSyntax.requireLine("Value of a header field", value);
		ByteBufUtil.writeAscii(message, name);
		message.writeShort(COLON_SPACE);
		ByteBufUtil.writeAscii(message, value);
		endLine(message);
	}

	static void endLine(ByteBuf message) {
		message.writeShort(CR_LF);
	}

}
