package org.wasabicart.command;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.wasabicart.core.model.Revision;

/**
 * Client of a node's status endpoints.
 */
final class NodeStatusClient {

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(3);

	private final HttpClient client = HttpClient.newBuilder().connectTimeout(DEFAULT_TIMEOUT).build();

	private final ObjectMapper mapper = new ObjectMapper();

	JsonNode status(String node) throws IOException, InterruptedException {
		return get(node, "/wasabicart/status", DEFAULT_TIMEOUT);
	}

	/**
	 * Queries a node for the number of members on which a revision is in force.
	 * @param node base URL of the node
	 * @param revision revision to count
	 * @param timeout longest time to wait; raised to the default timeout if shorter
	 * @return the count as JSON
	 * @throws IOException if the node does not respond with status 200 in time
	 * @throws InterruptedException if the thread is interrupted
	 */
	JsonNode inForce(String node, Revision revision, Duration timeout) throws IOException, InterruptedException {
		Duration effectiveTimeout = (timeout.compareTo(DEFAULT_TIMEOUT) > 0) ? timeout : DEFAULT_TIMEOUT;
		return get(node, "/wasabicart/in-force?revision=" + revision, effectiveTimeout);
	}

	private JsonNode get(String node, String path, Duration timeout) throws IOException, InterruptedException {
		URI uri = URI.create(node).resolve(path);
		HttpRequest request = HttpRequest.newBuilder(uri).timeout(timeout).build();
		HttpResponse<byte[]> response = this.client.send(request, HttpResponse.BodyHandlers.ofByteArray());
		if (response.statusCode() != 200) {
			throw new IOException("HTTP status " + response.statusCode());
		}
		return this.mapper.readTree(response.body());
	}

}
