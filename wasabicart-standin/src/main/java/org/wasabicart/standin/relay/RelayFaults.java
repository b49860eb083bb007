package org.wasabicart.standin.relay;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.standin.http.Json;

/**
 * Faults injected into the relayed network.
 *
 * @param cuts directions in which no traffic passes
 * @param lossShare share of the datagrams that are lost
 * @param extraMilliseconds one-way delay between failure domains, added to that of the
 * rules
 */
public record RelayFaults(List<Direction> cuts, double lossShare, double extraMilliseconds) {

	/** No fault. */
	public static final RelayFaults NONE = new RelayFaults(List.of(), 0, 0);

	public RelayFaults {
		cuts = List.copyOf(cuts);
	}

	/**
	 * Returns a copy with some values replaced.
	 * @param change new values by component name; absent ones are kept
	 * @return the changed faults
	 */
	RelayFaults with(JsonNode change) {
		List<Direction> changed = change.has("cuts") ? parseDirections(change.path("cuts")) : this.cuts;
		return new RelayFaults(changed, change.path("lossShare").asDouble(this.lossShare),
				change.path("extraMilliseconds").asDouble(this.extraMilliseconds));
	}

	static List<Direction> parseDirections(JsonNode array) {
		List<Direction> directions = new ArrayList<>();
		for (JsonNode direction : array) {
			directions.add(new Direction(direction.path("from").asText("*"), direction.path("to").asText("*")));
		}
		return directions;
	}

	boolean isCut(RelayRules.Place from, RelayRules.Place to) {
		return this.cuts.stream().anyMatch((direction) -> direction.matches(from, to));
	}

	ObjectNode toJson() {
		ObjectNode json = Json.object()
			.put("lossShare", this.lossShare)
			.put("extraMilliseconds", this.extraMilliseconds);
		ArrayNode array = json.putArray("cuts");
		this.cuts.forEach((direction) -> array.addObject().put("from", direction.from()).put("to", direction.to()));
		return json;
	}

	/**
	 * Direction of traffic. Each end is a failure domain, a region, or {@code *}.
	 *
	 * @param from sender
	 * @param to receiver
	 */
	public record Direction(String from, String to) {

		boolean matches(RelayRules.Place sender, RelayRules.Place receiver) {
			return sender.matches(this.from) && receiver.matches(this.to);
		}

	}

}
