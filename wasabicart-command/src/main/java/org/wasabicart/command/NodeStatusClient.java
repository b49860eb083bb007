package org.wasabicart.command;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads the status of a node.
 */
final class NodeStatusClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

	private final ObjectMapper mapper = new ObjectMapper();

	JsonNode read(String node) throws IOException, InterruptedException {
		URI uri = URI.create(node).resolve("/wasabicart/status");
		HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).build();
		HttpResponse<byte[]> response = this.client.send(request, HttpResponse.BodyHandlers.ofByteArray());
		if (response.statusCode() != 200) {
			throw new IOException("HTTP status " + response.statusCode());
		}
		return this.mapper.readTree(response.body());
	}

}
