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
 * Reads the operators' paths of a node.
 */
final class NodeStatusClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

	private final ObjectMapper mapper = new ObjectMapper();

	JsonNode read(String node) throws IOException, InterruptedException {
		return read(node, "/wasabicart/status", TIMEOUT);
	}

	/**
	 * Asks a node on how many members a revision is in force.
	 * @param node base URL of the node
	 * @param revision revision
	 * @param timeout longest time to wait; at least the timeout of a status
	 * @return the count as JSON
	 * @throws IOException if the node does not respond with status 200 in time
	 * @throws InterruptedException if the thread is interrupted
	 */
	JsonNode inForce(String node, Revision revision, Duration timeout) throws IOException, InterruptedException {
		Duration longest = (timeout.compareTo(TIMEOUT) > 0) ? timeout : TIMEOUT;
		return read(node, "/wasabicart/in-force?revision=" + revision, longest);
	}

	private JsonNode read(String node, String path, Duration timeout) throws IOException, InterruptedException {
		URI uri = URI.create(node).resolve(path);
		HttpRequest request = HttpRequest.newBuilder(uri).timeout(timeout).build();
		HttpResponse<byte[]> response = this.client.send(request, HttpResponse.BodyHandlers.ofByteArray());
		if (response.statusCode() != 200) {
			throw new IOException("HTTP status " + response.statusCode());
		}
		return this.mapper.readTree(response.body());
	}

}
