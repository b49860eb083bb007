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
 * Differences between two documents by JSON path. List entries are matched by their name
 * and not by their position.
 */
final class JsonDifference {

	private static final Set<String> ORIGIN_FIELDS = Set.of("author", "baseRevision", "changes");

	private final List<Entry> entries = new ArrayList<>();

	static List<Entry> between(ConfigurationDocument before, ConfigurationDocument after) throws CommandException {
		JsonDifference difference = new JsonDifference();
		difference.compare("$", tree(before), tree(after));
		return difference.entries;
	}

	static JsonNode tree(ConfigurationDocument document) throws CommandException {
		try {
			return new ObjectMapper().readTree(new ConfigurationFormat().write(document));
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.REFUSED, "The configuration cannot be printed: " + ex.getMessage());
		}
	}

	private void compare(String path, JsonNode before, JsonNode after) {
		if (before != null && before.equals(after)) {
			return;
		}
		if (before != null && after != null && before.isContainerNode()
				&& before.getNodeType() == after.getNodeType()) {
			Map<String, JsonNode> left = children(before);
			Map<String, JsonNode> right = children(after);
			Set<String> names = new LinkedHashSet<>(left.keySet());
			names.addAll(right.keySet());
			names.forEach((name) -> compare(path + name, left.get(name), right.get(name)));
			return;
		}
		this.entries.add(new Entry(path, before, after));
	}

	private Map<String, JsonNode> children(JsonNode node) {
		Map<String, JsonNode> children = new LinkedHashMap<>();
		if (node.isObject()) {
			node.properties()
				.stream()
				.filter((field) -> !ORIGIN_FIELDS.contains(field.getKey()))
				.forEach((field) -> children.put("." + field.getKey(), field.getValue()));
			return children;
		}
		for (int i = 0; i < node.size(); i++) {
			JsonNode element = node.get(i);
			String name = element.path("name").asText(element.path("kind").asText(Integer.toString(i)));
			children.put("[" + name + "]", element);
		}
		return children;
	}

	/**
	 * One path at which the documents differ.
	 *
	 * @param path JSON path
	 * @param before value before, or {@code null} if it was absent
	 * @param after value after, or {@code null} if it is absent
	 */
	record Entry(String path, JsonNode before, JsonNode after) {

	}

}
