package org.wasabicart.standin.store;

import java.util.Arrays;
import java.util.Base64;
import java.util.Comparator;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Keys that a range or watch request names.
 *
 * @param first first key
 * @param end end of the range, exclusive; empty for the one key, a single zero byte for
 * all keys from the first
 */
record KeyRange(byte[] first, byte[] end) {

	/** Orders Base64 keys by their bytes, as the published format demands. */
	static final Comparator<String> ORDER = (left, right) -> Arrays.compareUnsigned(Base64.getDecoder().decode(left),
			Base64.getDecoder().decode(right));

	static KeyRange of(JsonNode request) {
		byte[] first = Base64.getDecoder().decode(request.path("key").asText());
		byte[] end = Base64.getDecoder().decode(JsonFields.text(request, "range_end", "rangeEnd"));
		return new KeyRange(first, end);
	}

	boolean contains(byte[] key) {
		if (this.end.length == 0) {
			return Arrays.equals(this.first, key);
		}
		boolean unbounded = this.end.length == 1 && this.end[0] == 0;
		boolean fromFirst = Arrays.compareUnsigned(key, this.first) >= 0;
		return fromFirst && (unbounded || Arrays.compareUnsigned(key, this.end) < 0);
	}

	boolean contains(String base64Key) {
		return contains(Base64.getDecoder().decode(base64Key));
	}

}
