package org.wasabicart.standin.backend;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;

import org.wasabicart.standin.http.Addresses;

/**
 * Configuration of one backend server.
 *
 * @param service service that the server belongs to
 * @param address address to listen on
 * @param node URL of its node's local HTTP address; empty for a server without a node
 * @param callUrl base URL for its calls to other services; empty to call through its node
 * @param slots maximum number of requests that run at once
 * @param connections maximum number of requests that run or wait at once; further ones
 * are shed
 * @param serviceMilliseconds mean service time of a request, without its nested calls
 * @param jitter maximum relative deviation from the mean service time, 0 to 1
 * @param calls services that it calls for each request: groups in sequence, the services
 * of one group in parallel
 * @param answerBytes length of a response body
 * @param startingMilliseconds duration of the starting state
 * @param coldMilliseconds time after the start during which requests take longer
 * @param coldFactor factor by which the service time is multiplied at the start; it falls
 * linearly to 1 within {@code coldMilliseconds}
 * @param seed seed of the jitter and the random faults
 */
public record BackendConfiguration(String service, InetSocketAddress address, String node, String callUrl, int slots,
		int connections, double serviceMilliseconds, double jitter, List<List<String>> calls, int answerBytes,
		long startingMilliseconds, long coldMilliseconds, double coldFactor, long seed) {

	public BackendConfiguration {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(node, "node");
		callUrl = callUrl.isEmpty() ? node : callUrl;
		calls = List.copyOf(calls);
		if (slots < 1 || connections < slots) {
			throw new IllegalArgumentException("Slots must be positive and connections at least as many: " + service);
		}
	}

	/**
	 * Reads a configuration from JSON.
	 * @param json object with the names of this record's components; {@code address} as
	 * {@code IP:port}, {@code calls} as in {@link #parseCalls(String)}
	 * @return the configuration
	 */
	public static BackendConfiguration of(JsonNode json) {
		int slots = json.path("slots").asInt(10);
		return new BackendConfiguration(json.path("service").asText(), Addresses.parse(json.path("address").asText()),
				json.path("node").asText(""), json.path("callUrl").asText(""), slots,
				json.path("connections").asInt(slots * 7), json.path("serviceMilliseconds").asDouble(10),
				json.path("jitter").asDouble(0.2), parseCalls(json.path("calls").asText("")),
				json.path("answerBytes").asInt(256), json.path("startingMilliseconds").asLong(0),
				json.path("coldMilliseconds").asLong(0), json.path("coldFactor").asDouble(1),
				json.path("seed").asLong(1));
	}

	/**
	 * Parses the services to call.
	 * @param text groups separated by commas, the services of a group separated by
	 * {@code +}, for example {@code orders,stores+quoting}
	 * @return the groups
	 */
	public static List<List<String>> parseCalls(String text) {
		List<List<String>> groups = new ArrayList<>();
		for (String group : text.split(",")) {
			if (!group.isBlank()) {
				groups.add(List.of(group.strip().split("\\+")));
			}
		}
		return groups;
	}

}
