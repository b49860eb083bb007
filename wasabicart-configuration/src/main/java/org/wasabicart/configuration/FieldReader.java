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
 * Reads the fields of one JSON object and adds a finding for each error, so that one pass
 * reports all of them. For an invalid field the methods return a placeholder that is
 * valid, such as the minimum of a number.
 */
final class FieldReader {

	private final JsonNode object;

	private final String place;

	private final List<Finding> findings;

	private final Set<String> readFields = new HashSet<>();

	FieldReader(JsonNode object, String place, List<Finding> findings) {
		this.object = object;
		this.place = place;
		this.findings = findings;
		if (!object.isObject()) {
			addObjectFinding("expected an object, found " + describe(object));
		}
	}

	String placeOf(String field) {
		return this.place + "." + field;
	}

	boolean has(String field) {
		this.readFields.add(field);
		return this.object.has(field);
	}

	void addFinding(String field, String message) {
		this.findings.add(new Finding(placeOf(field), message));
	}

	FieldReader object(String field) {
		return new FieldReader(requiredField(field, "an object"), placeOf(field), this.findings);
	}

	<T> T name(String field, Function<String, T> constructor, T placeholder) {
		String text = text(field, "");
		try {
			return text.isEmpty() ? placeholder : constructor.apply(text);
		}
		catch (IllegalArgumentException ex) {
			addFinding(field, "expected 1 to 64 letters, digits, dots, underscores or hyphens, found \"" + text + "\"");
			return placeholder;
		}
	}

	String text(String field, String placeholder) {
		JsonNode node = requiredField(field, "a text");
		if (node.isMissingNode()) {
			return placeholder;
		}
		if (!node.isTextual() || node.textValue().isEmpty()) {
			addFinding(field, "expected a text that is not empty, found " + describe(node));
			return placeholder;
		}
		return node.textValue();
	}

	String optionalText(String field) {
		this.readFields.add(field);
		JsonNode node = this.object.path(field);
		if (node.isMissingNode()) {
			return "";
		}
		if (!node.isTextual()) {
			addFinding(field, "expected a text, found " + describe(node));
			return "";
		}
		return node.textValue();
	}

	long wholeNumber(String field, long minimum, long maximum) {
		JsonNode node = requiredField(field, "a whole number");
		if (node.isMissingNode()) {
			return minimum;
		}
		if (!node.isIntegralNumber() || !node.canConvertToLong()) {
			addFinding(field, "expected a whole number, found " + describe(node));
			return minimum;
		}
		if (node.longValue() < minimum || node.longValue() > maximum) {
			addFinding(field, "expected " + minimum + " to " + maximum + ", found " + node.longValue());
			return minimum;
		}
		return node.longValue();
	}

	Duration milliseconds(String field, long minimum, long maximum) {
		JsonNode node = requiredField(field, "a whole number of milliseconds");
		if (!node.isMissingNode() && !node.isIntegralNumber()) {
			addFinding(field, "expected a whole number of milliseconds without a unit, found " + describe(node));
			return Duration.ofMillis(minimum);
		}
		return Duration.ofMillis(wholeNumber(field, minimum, maximum, node));
	}

	private long wholeNumber(String field, long minimum, long maximum, JsonNode node) {
		return node.isMissingNode() ? minimum : wholeNumber(field, minimum, maximum);
	}

	double decimal(String field, double minimum, double maximum) {
		JsonNode node = requiredField(field, "a number");
		if (node.isMissingNode()) {
			return minimum;
		}
		if (!node.isNumber()) {
			addFinding(field, "expected a number, found " + describe(node));
			return minimum;
		}
		if (node.doubleValue() < minimum || node.doubleValue() > maximum) {
			addFinding(field, "expected " + minimum + " to " + maximum + ", found " + node.asText());
			return minimum;
		}
		return node.doubleValue();
	}

	<T> List<T> list(String field, Function<FieldReader, T> elementReader) {
		List<T> result = new ArrayList<>();
		JsonNode node = requiredField(field, "a list");
		if (!node.isMissingNode() && !node.isArray()) {
			addFinding(field, "expected a list, found " + describe(node));
			return result;
		}
		for (int i = 0; i < node.size(); i++) {
			FieldReader reader = new FieldReader(node.get(i), placeOf(field) + "[" + i + "]", this.findings);
			T value = elementReader.apply(reader);
			reader.rejectUnknownFields();
			result.add(value);
		}
		return result;
	}

	<T> List<T> optionalNames(String field, Function<String, T> constructor) {
		this.readFields.add(field);
		List<T> result = new ArrayList<>();
		JsonNode node = this.object.path(field);
		if (!node.isMissingNode() && !node.isArray()) {
			addFinding(field, "expected a list of names, found " + describe(node));
			return result;
		}
		for (int i = 0; i < node.size(); i++) {
			addName(field + "[" + i + "]", node.get(i), constructor, result);
		}
		return result;
	}

	private <T> void addName(String field, JsonNode node, Function<String, T> constructor, List<T> result) {
		try {
			result.add(constructor.apply(node.isTextual() ? node.textValue() : null));
		}
		catch (IllegalArgumentException ex) {
			addFinding(field, "expected a name, found " + describe(node));
		}
	}

	void rejectUnknownFields() {
		this.object.fieldNames().forEachRemaining((field) -> {
			if (!this.readFields.contains(field)) {
				addFinding(field, "unknown field");
			}
		});
	}

	private JsonNode requiredField(String field, String expected) {
		this.readFields.add(field);
		JsonNode node = this.object.path(field);
		if (node.isMissingNode() && this.object.isObject()) {
			addFinding(field, "missing, expected " + expected);
		}
		return node.isNull() ? MissingNode.getInstance() : node;
	}

	private void addObjectFinding(String message) {
		this.findings.add(new Finding(this.place, message));
	}

	private static String describe(JsonNode node) {
		return node.isContainerNode() ? node.getNodeType().name().toLowerCase(Locale.ROOT) : node.toString();
	}

}
