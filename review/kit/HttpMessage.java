package org.wasabicart.review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Head of an HTTP/1.1 message.
 *
 * @param start first line
 * @param headers header fields by lower-case name
 */
record HttpMessage(String start, Map<String, String> headers) {

	/**
	 * Reads a head.
	 * @param input stream of bytes
	 * @return the head, or null if the stream has ended before it
	 */
	static HttpMessage read(InputStream input) throws IOException {
		String start = line(input);
		if (start == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		for (String line = line(input); !"".equals(line); line = line(input)) {
			if (line == null) {
				throw new EOFException("message ends in its head");
			}
			int colon = line.indexOf(':');
			if (colon < 0) {
				throw new IOException("not a header field: " + line);
			}
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return new HttpMessage(start, headers);
	}

	private static String line(InputStream input) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = input.read(); next >= 0; next = input.read()) {
			if (next == '\n') {
				return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
			}
			line.write(next);
		}
		if (line.size() > 0) {
			throw new EOFException("message ends in a line");
		}
		return null;
	}

	String header(String name) {
		return this.headers.get(name.toLowerCase(Locale.ROOT));
	}

	int contentLength() {
		String value = header("Content-Length");
		return (value != null) ? Integer.parseInt(value) : 0;
	}

	int status() {
		return Integer.parseInt(this.start.split(" ")[1]);
	}

}
