package org.wasabicart.standin.store;

import java.util.Arrays;
import java.util.Base64;
import java.util.Comparator;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Range of keys that a request covers.
 *
 * @param first first key
 * @param end end of the range, exclusive; empty for the first key only, a single zero
 * byte for all keys from the first
 */
record KeyRange(byte[] first, byte[] end) {

	/** Orders Base64 keys by their decoded bytes, as etcd does. */
	static final Comparator<String> KEY_ORDER = (left, right) -> Arrays
		.compareUnsigned(Base64.getDecoder().decode(left), Base64.getDecoder().decode(right));

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
		boolean notBeforeFirst = Arrays.compareUnsigned(key, this.first) >= 0;
		return notBeforeFirst && (unbounded || Arrays.compareUnsigned(key, this.end) < 0);
	}

	boolean contains(String base64Key) {
		return contains(Base64.getDecoder().decode(base64Key));
	}

}
