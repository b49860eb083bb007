package org.wasabicart.experiment.harness;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * HTTP client that reads and sets the state of stand-ins and nodes.
 */
public final class HttpControl {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final long POLL_MILLISECONDS = 25;

	private static final int OK = 200;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(TIMEOUT)
		.build();

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Sends a POST request with a JSON body.
	 * @param url address
	 * @param body body
	 * @return the JSON response
	 * @throws IOException if no response arrives or its status is not 200
	 * @throws InterruptedException if interrupted
	 */
	public JsonNode post(String url, String body) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create(url))
			.timeout(TIMEOUT)
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		return this.mapper.readTree(send(request));
	}

	/**
	 * Sends a GET request.
	 * @param url address
	 * @return the body
	 * @throws IOException if no response arrives or its status is not 200
	 * @throws InterruptedException if interrupted
	 */
	public String get(String url) throws IOException, InterruptedException {
		return send(HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT).build());
	}

	private String send(HttpRequest request) throws IOException, InterruptedException {
		HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
		if (response.statusCode() != OK) {
			throw new IOException("HTTP status " + response.statusCode() + " from " + request.uri());
		}
		return response.body();
	}

	/**
	 * Waits until an address responds with status 200.
	 * @param url address
	 * @param timeout maximum time to wait
	 * @throws IOException if the timeout expires first
	 * @throws InterruptedException if interrupted
	 */
	public void awaitOk(String url, Duration timeout) throws IOException, InterruptedException {
		long deadline = System.nanoTime() + timeout.toNanos();
		while (true) {
			try {
				get(url);
				return;
			}
			catch (IOException ex) {
				if (System.nanoTime() > deadline) {
					throw new IOException(url + " was not ready within " + timeout.toSeconds() + " s", ex);
				}
				Thread.sleep(POLL_MILLISECONDS);
			}
		}
	}

}
