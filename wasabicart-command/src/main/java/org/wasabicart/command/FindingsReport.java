package org.wasabicart.command;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.configuration.Finding;

/**
 * Prints findings as text or JSON.
 */
final class FindingsReport {

	private FindingsReport() {
	}

	static void print(List<Finding> findings, CommandOutput output) {
		findings.forEach((finding) -> output.line(finding.toString()));
		output.line(findings.size() + ((findings.size() == 1) ? " finding" : " findings"));
		output.document(toJson(findings));
	}

	static ObjectNode toJson(List<Finding> findings) {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		ArrayNode list = root.putArray("findings");
		findings.forEach((finding) -> list.addObject().put("place", finding.place()).put("message", finding.message()));
		return root;
	}

}
