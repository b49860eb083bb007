package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages with a stated length or in chunks. */
final class Http {

	final String startLine;

	final Map<String, String> headers;

	final byte[] body;

	private Http(String startLine, Map<String, String> headers, byte[] body) {
		this.startLine = startLine;
		this.headers = headers;
		this.body = body;
	}

	int status() {
		return Integer.parseInt(this.startLine.split(" ")[1]);
	}

	String header(String name) {
		return this.headers.get(name.toLowerCase());
	}

	/** Reads one message, or returns null at the end of the stream before its first byte. */
	static Http read(BufferedInputStream input) throws IOException {
		String start = line(input);
		if (start == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String field = line(input); !"".equals(field); field = line(input)) {
			if (field == null) {
				throw new EOFException("head ends early");
			}
			int colon = field.indexOf(':');
			if (colon < 1) {
				throw new IOException("not a header line");
			}
			headers.put(field.substring(0, colon).trim().toLowerCase(), field.substring(colon + 1).trim());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (headers.containsKey("content-length")) {
			body.write(exactly(input, Integer.parseInt(headers.get("content-length"))));
		}
		else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			while (true) {
				int length = Integer.parseInt(String.valueOf(line(input)).split(";")[0].trim(), 16);
				body.write(exactly(input, length));
				line(input);
				if (length == 0) {
					break;
				}
			}
		}
		return new Http(start, headers, body.toByteArray());
	}

	private static byte[] exactly(InputStream input, int length) throws IOException {
		byte[] bytes = input.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("body ends early");
		}
		return bytes;
	}

	private static String line(InputStream input) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		int value = input.read();
		if (value < 0) {
			return null;
		}
		while (value != '\n') {
			if (value < 0) {
				throw new EOFException("line ends early");
			}
			if (value != '\r') {
				bytes.write(value);
			}
			value = input.read();
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

}
