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
 * Header fields of a message without those of one connection, as they stand in HTTP: one
 * line each, ended by CR LF. The node that receives a message checks its fields; from
 * there on the lines travel unread, since to build and encode each field again at every
 * hop takes a large part of a call's processor time.
 */
final class HeaderBlock {

	static final HeaderBlock EMPTY = new HeaderBlock(new byte[0]);

	private static final Set<String> CONNECTION_FIELDS = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	/** Bytes of a usual block. */
	private static final int INITIAL_BYTES = 512;

	private static final int CR_LF = '\r' << 8 | '\n';

	private static final int COLON_SPACE = ':' << 8 | ' ';

	private final byte[] lines;

	private HeaderBlock(byte[] lines) {
		this.lines = lines;
	}

	/**
	 * Returns the header fields that travel with the message.
	 * @param headers all header fields, checked by the decoder
	 * @param dropped names in lower case that are left out as well
	 * @return the header fields
	 */
	static HeaderBlock endToEnd(HttpHeaders headers, Set<String> dropped) {
		Set<String> named = namedByConnection(headers);
		ByteBuf block = Unpooled.buffer(INITIAL_BYTES);
		for (Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence(); entries
			.hasNext();) {
			Map.Entry<CharSequence, CharSequence> entry = entries.next();
			String lowerCase = entry.getKey().toString().toLowerCase(Locale.ROOT);
			if (!CONNECTION_FIELDS.contains(lowerCase) && !dropped.contains(lowerCase) && !named.contains(lowerCase)) {
				writeField(block, entry.getKey(), entry.getValue());
			}
		}
		return new HeaderBlock(ByteBufUtil.getBytes(block));
	}

	private static Set<String> namedByConnection(HttpHeaders headers) {
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
	 * Returns one header field of this node.
	 * @param name name
	 * @param value value, without line breaks
	 * @return the header field
	 */
	static HeaderBlock of(CharSequence name, CharSequence value) {
		ByteBuf block = Unpooled.buffer(name.length() + value.length() + 4);
		writeField(block, name, value);
		return new HeaderBlock(ByteBufUtil.getBytes(block));
	}

	/**
	 * Returns the lines that another node read.
	 * @param lines lines
	 * @return the header fields
	 */
	static HeaderBlock of(ByteString lines) {
		return lines.isEmpty() ? EMPTY : new HeaderBlock(lines.toByteArray());
	}

	ByteString toByteString() {
		return UnsafeByteOperations.unsafeWrap(this.lines);
	}

	/**
	 * Returns the size of the lines.
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
	 * @param message message whose head is being written
	 * @param name name
	 * @param value value, without line breaks
	 */
	static void writeField(ByteBuf message, CharSequence name, CharSequence value) {
		ByteBufUtil.writeAscii(message, name);
		message.writeShort(COLON_SPACE);
		ByteBufUtil.writeAscii(message, value);
		endLine(message);
	}

	static void endLine(ByteBuf message) {
		message.writeShort(CR_LF);
	}

}
