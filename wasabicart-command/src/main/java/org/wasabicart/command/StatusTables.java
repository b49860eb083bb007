package org.wasabicart.command;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Prints a node's status as tables.
 */
final class StatusTables {

	private StatusTables() {
	}

	static void print(JsonNode status, CommandOutput output) {
		output.line("node " + status.path("nodeId").asText("-") + ", instance " + status.path("instance").asText("-")
				+ ", revision " + status.path("revision").asText("-"));
		output.line("");
		printMembers(status.path("members"), output);
		if (status.has("admission")) {
			output.line("");
			printAdmission(status.path("admission"), output);
		}
		if (status.path("thresholds").size() > 0) {
			output.line("");
			printThresholds(status.path("thresholds"), output);
		}
	}

	private static void printMembers(JsonNode members, CommandOutput output) {
		TextTable table = new TextTable("SERVICE", "FAILURE DOMAIN", "REGION", "NODE", "STATE", "SLOTS", "REVISION");
		List<JsonNode> sorted = new ArrayList<>();
		members.forEach(sorted::add);
		sorted.sort(Comparator.comparing((JsonNode member) -> member.path("service").asText())
			.thenComparing((member) -> member.path("failureDomain").asText())
			.thenComparing((member) -> member.path("id").asText()));
		sorted.forEach((member) -> table.row(member.path("service").asText(), member.path("failureDomain").asText(),
				member.path("region").asText(), member.path("id").asText(), member.path("state").asText(),
				member.path("slots").asText(), member.path("revision").asText()));
		table.print(output);
	}

	private static void printAdmission(JsonNode admission, CommandOutput output) {
		new TextTable("LIMIT", "CEILING", "RUNNING", "QUEUED", "THRESHOLD")
			.row(admission.path("limit").asText(), admission.path("ceiling").asText(),
					admission.path("running").asText(), admission.path("queued").asText(),
					admission.path("threshold").asText())
			.print(output);
	}

	private static void printThresholds(JsonNode thresholds, CommandOutput output) {
		TextTable table = new TextTable("SERVICE", "THRESHOLD");
		thresholds.properties().forEach((entry) -> table.row(entry.getKey(), entry.getValue().asText()));
		table.print(output);
	}

}
