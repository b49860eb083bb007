package org.wasabicart.command;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.configuration.ConfigurationFormat;

/**
 * Compares two configuration documents and lists the JSON paths at which they differ.
 * List elements are matched by name or kind, and by index only if they have neither. The
 * fields of section headers are ignored.
 */
final class JsonDifference {

	private static final Set<String> SECTION_HEADER_FIELDS = Set.of("author", "baseRevision", "changes");

	private final List<Entry> entries = new ArrayList<>();

	static List<Entry> between(ConfigurationDocument before, ConfigurationDocument after) throws CommandException {
		JsonDifference difference = new JsonDifference();
		difference.compare("$", toTree(before), toTree(after));
		return difference.entries;
	}

	static JsonNode toTree(ConfigurationDocument document) throws CommandException {
		try {
			return new ObjectMapper().readTree(new ConfigurationFormat().write(document));
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.REFUSED,
					"Cannot convert the configuration to JSON: " + ex.getMessage());
		}
	}

	private void compare(String path, JsonNode before, JsonNode after) {
		if (before != null && before.equals(after)) {
			return;
		}
		if (before != null && after != null && before.isContainerNode()
				&& before.getNodeType() == after.getNodeType()) {
			Map<String, JsonNode> beforeChildren = children(before);
			Map<String, JsonNode> afterChildren = children(after);
			Set<String> segments = new LinkedHashSet<>(beforeChildren.keySet());
			segments.addAll(afterChildren.keySet());
			segments
				.forEach((segment) -> compare(path + segment, beforeChildren.get(segment), afterChildren.get(segment)));
			return;
		}
		this.entries.add(new Entry(path, before, after));
	}

	// Maps the path segment of each child, such as .kinds or [print-order], to its value.
	private Map<String, JsonNode> children(JsonNode node) {
		Map<String, JsonNode> children = new LinkedHashMap<>();
		if (node.isObject()) {
			node.properties()
				.stream()
				.filter((field) -> !SECTION_HEADER_FIELDS.contains(field.getKey()))
				.forEach((field) -> children.put("." + field.getKey(), field.getValue()));
			return children;
		}
		for (int index = 0; index < node.size(); index++) {
			JsonNode element = node.get(index);
			String name = element.path("name").asText(element.path("kind").asText(Integer.toString(index)));
			children.put("[" + name + "]", element);
		}
		return children;
	}

	/**
	 * JSON path at which the documents differ.
	 *
	 * @param path JSON path
	 * @param before value before, or {@code null} if it was absent
	 * @param after value after, or {@code null} if it is absent
	 */
	record Entry(String path, JsonNode before, JsonNode after) {

	}

}
