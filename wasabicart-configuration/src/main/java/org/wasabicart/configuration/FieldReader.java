package org.wasabicart.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * Reads the fields of one JSON object and collects a finding for each fault, so that one
 * pass reports all of them. A faulty field yields a usable placeholder.
 */
final class FieldReader {

	private final JsonNode object;

	private final String place;

	private final List<Finding> findings;

	private final Set<String> known = new HashSet<>();

	FieldReader(JsonNode object, String place, List<Finding> findings) {
		this.object = object;
		this.place = place;
		this.findings = findings;
		if (!object.isObject()) {
			addHere("expected an object, found " + describe(object));
		}
	}

	String placeOf(String field) {
		return this.place + "." + field;
	}

	boolean has(String field) {
		this.known.add(field);
		return this.object.has(field);
	}

	void add(String field, String message) {
		this.findings.add(new Finding(placeOf(field), message));
	}

	FieldReader object(String field) {
		return new FieldReader(required(field, "an object"), placeOf(field), this.findings);
	}

	<T> T name(String field, Function<String, T> type, T placeholder) {
		String text = text(field, "");
		try {
			return text.isEmpty() ? placeholder : type.apply(text);
		}
		catch (IllegalArgumentException ex) {
			add(field, "expected 1 to 64 letters, digits, dots, underscores or hyphens, found \"" + text + "\"");
			return placeholder;
		}
	}

	String text(String field, String placeholder) {
		JsonNode node = required(field, "a text");
		if (node.isMissingNode()) {
			return placeholder;
		}
		if (!node.isTextual() || node.textValue().isEmpty()) {
			add(field, "expected a text that is not empty, found " + describe(node));
			return placeholder;
		}
		return node.textValue();
	}

	String optionalText(String field) {
		this.known.add(field);
		JsonNode node = this.object.path(field);
		if (node.isMissingNode()) {
			return "";
		}
		if (!node.isTextual()) {
			add(field, "expected a text, found " + describe(node));
			return "";
		}
		return node.textValue();
	}

	long wholeNumber(String field, long minimum, long maximum) {
		JsonNode node = required(field, "a whole number");
		if (node.isMissingNode()) {
			return minimum;
		}
		if (!node.isIntegralNumber() || !node.canConvertToLong()) {
			add(field, "expected a whole number, found " + describe(node));
			return minimum;
		}
		if (node.longValue() < minimum || node.longValue() > maximum) {
			add(field, "expected " + minimum + " to " + maximum + ", found " + node.longValue());
			return minimum;
		}
		return node.longValue();
	}

	Duration milliseconds(String field, long minimum, long maximum) {
		JsonNode node = required(field, "a whole number of milliseconds");
		if (!node.isMissingNode() && !node.isIntegralNumber()) {
			add(field, "expected a whole number of milliseconds without a unit, found " + describe(node));
			return Duration.ofMillis(minimum);
		}
		return Duration.ofMillis(wholeNumber(field, minimum, maximum, node));
	}

	private long wholeNumber(String field, long minimum, long maximum, JsonNode node) {
		return node.isMissingNode() ? minimum : wholeNumber(field, minimum, maximum);
	}

	double decimal(String field, double minimum, double maximum) {
		JsonNode node = required(field, "a number");
		if (node.isMissingNode()) {
			return minimum;
		}
		if (!node.isNumber()) {
			add(field, "expected a number, found " + describe(node));
			return minimum;
		}
		if (node.doubleValue() < minimum || node.doubleValue() > maximum) {
			add(field, "expected " + minimum + " to " + maximum + ", found " + node.asText());
			return minimum;
		}
		return node.doubleValue();
	}

	<T> List<T> list(String field, Function<FieldReader, T> element) {
		List<T> result = new ArrayList<>();
		JsonNode node = required(field, "a list");
		if (!node.isMissingNode() && !node.isArray()) {
			add(field, "expected a list, found " + describe(node));
			return result;
		}
		for (int i = 0; i < node.size(); i++) {
			FieldReader reader = new FieldReader(node.get(i), placeOf(field) + "[" + i + "]", this.findings);
			T value = element.apply(reader);
			reader.rejectUnknownFields();
			result.add(value);
		}
		return result;
	}

	<T> List<T> optionalNames(String field, Function<String, T> type) {
		this.known.add(field);
		List<T> result = new ArrayList<>();
		JsonNode node = this.object.path(field);
		if (!node.isMissingNode() && !node.isArray()) {
			add(field, "expected a list of names, found " + describe(node));
			return result;
		}
		for (int i = 0; i < node.size(); i++) {
			addName(field + "[" + i + "]", node.get(i), type, result);
		}
		return result;
	}

	private <T> void addName(String field, JsonNode node, Function<String, T> type, List<T> result) {
		try {
			result.add(type.apply(node.isTextual() ? node.textValue() : null));
		}
		catch (IllegalArgumentException ex) {
			add(field, "expected a name, found " + describe(node));
		}
	}

	void rejectUnknownFields() {
		this.object.fieldNames().forEachRemaining((field) -> {
			if (!this.known.contains(field)) {
				add(field, "unknown field");
			}
		});
	}

	private JsonNode required(String field, String expected) {
		this.known.add(field);
		JsonNode node = this.object.path(field);
		if (node.isMissingNode() && this.object.isObject()) {
			add(field, "missing, expected " + expected);
		}
		return node.isNull() ? MissingNode.getInstance() : node;
	}

	private void addHere(String message) {
		this.findings.add(new Finding(this.place, message));
	}

	private static String describe(JsonNode node) {
		return node.isContainerNode() ? node.getNodeType().name().toLowerCase(Locale.ROOT) : node.toString();
	}

}
