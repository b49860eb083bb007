package org.wasabicart.standin.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import org.wasabicart.standin.http.Addresses;

/**
 * Endpoints of a relay and the properties of the network between them.
 *
 * @param endpoints addresses that the relay serves
 * @param domainMilliseconds one-way delay between failure domains of a region
 * @param regionMilliseconds one-way delay between regions
 * @param regionMegabits capacity of the link between two regions, in Mbit/s each way; 0
 * for no limit
 */
public record RelayRules(List<Endpoint> endpoints, double domainMilliseconds, double regionMilliseconds,
		double regionMegabits) {

	public RelayRules {
		endpoints = List.copyOf(endpoints);
	}

	/**
	 * Reads rules from JSON.
	 * @param json object with the names of this record's components
	 * @return the rules
	 */
	public static RelayRules of(JsonNode json) {
		List<Endpoint> endpoints = new ArrayList<>();
		for (JsonNode endpoint : json.path("endpoints")) {
			endpoints.add(new Endpoint(Addresses.parse(endpoint.path("advertised").asText()),
					Addresses.parse(endpoint.path("target").asText()),
					new Place(endpoint.path("failureDomain").asText(), endpoint.path("region").asText())));
		}
		return new RelayRules(endpoints, json.path("domainMilliseconds").asDouble(0),
				json.path("regionMilliseconds").asDouble(0), json.path("regionMegabits").asDouble(0));
	}

	/**
	 * Finds the place of a sender, which is the place of the endpoint whose target has
	 * the sender's IP address.
	 * @param sender address of the sender
	 * @return the place, or empty for an unknown sender
	 */
	Optional<Place> placeOf(InetSocketAddress sender) {
		return this.endpoints.stream()
			.filter((endpoint) -> endpoint.target().getAddress().equals(sender.getAddress()))
			.map(Endpoint::place)
			.findFirst();
	}

	/**
	 * Address that the relay serves.
	 *
	 * @param advertised address on which the relay listens
	 * @param target address of the process behind it
	 * @param place place of the process
	 */
	public record Endpoint(InetSocketAddress advertised, InetSocketAddress target, Place place) {

	}

	/**
	 * Failure domain and region.
	 *
	 * @param failureDomain failure domain
	 * @param region region
	 */
	public record Place(String failureDomain, String region) {

		boolean matches(String name) {
			return name.equals("*") || name.equals(this.failureDomain) || name.equals(this.region);
		}

	}

}
