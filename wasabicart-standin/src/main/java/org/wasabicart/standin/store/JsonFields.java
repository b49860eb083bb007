package org.wasabicart.standin.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads fields of a request. Like etcd's JSON gateway, accepts field names in snake case
 * and in camel case, and 64-bit numbers as strings or as numbers.
 */
final class JsonFields {

	private JsonFields() {
	}

	static JsonNode field(JsonNode object, String name, String alternative) {
		return object.has(name) ? object.get(name) : object.path(alternative);
	}

	static String text(JsonNode object, String name, String alternative) {
		return field(object, name, alternative).asText("");
	}

	static long number(JsonNode object, String name, String alternative) {
		return field(object, name, alternative).asLong(0);
	}

}
