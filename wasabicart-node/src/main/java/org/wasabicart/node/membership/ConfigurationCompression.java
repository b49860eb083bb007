package org.wasabicart.node.membership;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Compresses configurations with gzip for the transfer between nodes.
 */
final class ConfigurationCompression {

	/** Largest decompressed configuration; the store holds values of up to 1 MB. */
	static final int MAXIMUM_JSON_BYTES = 1024 * 1024;

	private ConfigurationCompression() {
	}

	static byte[] compress(byte[] json) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
			gzip.write(json);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot compress the configuration", ex);
		}
		return bytes.toByteArray();
	}

	static byte[] decompress(byte[] compressed) throws IOException {
		try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
			byte[] json = gzip.readNBytes(MAXIMUM_JSON_BYTES + 1);
			if (json.length > MAXIMUM_JSON_BYTES) {
				throw new IOException("The configuration is larger than " + MAXIMUM_JSON_BYTES + " bytes");
			}
			return json;
		}
	}

}
