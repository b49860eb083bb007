package org.wasabicart.command;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Prints a node's status as tables.
 */
final class StatusTables {

	private StatusTables() {
	}

	static void print(JsonNode status, CommandOutput output) {
		output.line("node " + status.path("node").asText("-") + ", instance " + status.path("instance").asText("-")
				+ ", " + status.path("state").asText("-") + ", revision " + status.path("revision").asText("-"));
		output.line("");
		printMembers(status, output);
		if (status.path("admission").isObject()) {
			output.line("");
			printAdmission(status.path("admission"), output);
		}
		if (status.path("thresholds").size() > 0) {
			output.line("");
			printThresholds(status.path("thresholds"), output);
		}
	}

	private static void printMembers(JsonNode status, CommandOutput output) {
		TextTable table = new TextTable("SERVICE", "FAILURE DOMAIN", "NODE", "ADDRESS", "STATE", "SLOTS", "REVISION");
		StatusMember.read(status)
			.forEach((member) -> table.row(member.service(), member.failureDomain(), member.node(), member.address(),
					member.state(), member.slots(), member.revision()));
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
