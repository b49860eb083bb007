package org.wasabicart.command;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One member in a node's status.
 *
 * @param service service of its backend server
 * @param failureDomain failure domain of the node
 * @param node node id
 * @param address advertised address
 * @param state announced state
 * @param slots announced slots
 * @param revision configuration revision in force on the node
 */
record StatusMember(String service, String failureDomain, String node, String address, String state, int slots,
		long revision) {

	/**
	 * Reads the members of a status in the order of the JSON, which groups them by
	 * service and failure domain.
	 * @param status status of a node
	 * @return the members
	 */
	static List<StatusMember> read(JsonNode status) {
		List<StatusMember> members = new ArrayList<>();
		status.path("members")
			.properties()
			.forEach((service) -> service.getValue()
				.properties()
				.forEach((domain) -> domain.getValue()
					.forEach((member) -> members.add(member(service.getKey(), domain.getKey(), member)))));
		return members;
	}

	private static StatusMember member(String service, String failureDomain, JsonNode member) {
		return new StatusMember(service, failureDomain, member.path("node").asText(), member.path("address").asText(),
				member.path("state").asText(), member.path("slots").asInt(), member.path("revision").asLong());
	}

}
