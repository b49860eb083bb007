package org.wasabicart.standin.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads request fields. The published format accepts both spellings of a field name, and
 * 64-bit numbers as text or number.
 */
final class JsonFields {

	private JsonFields() {
	}

	static JsonNode either(JsonNode object, String name, String alternative) {
		return object.has(name) ? object.get(name) : object.path(alternative);
	}

	static String text(JsonNode object, String name, String alternative) {
		return either(object, name, alternative).asText("");
	}

	static long number(JsonNode object, String name, String alternative) {
		return either(object, name, alternative).asLong(0);
	}

}
