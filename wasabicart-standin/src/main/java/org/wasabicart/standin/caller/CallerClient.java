package org.wasabicart.standin.caller;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

import org.wasabicart.standin.http.Json;

/**
 * Sends the HTTP requests of callers: attempts, ticket reservations and queries for the
 * result of a ticket.
 */
final class CallerClient {

	private static final int OK = 200;

	private final HttpClient client;

	private final String tenant;

	CallerClient(HttpClient client, String tenant) {
		this.client = client;
		this.tenant = tenant;
	}

	CompletableFuture<HttpResponse<byte[]>> send(String entryUrl, Arrival arrival, String ticket, Duration timeout) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(entryUrl + arrival.path()))
			.timeout(timeout)
			.header("Wasabicart-Kind", arrival.kind().name())
			.header("Wasabicart-Tenant", this.tenant)
			.header("Wasabicart-Request-Id", arrival.requestId());
		if (!ticket.isEmpty()) {
			request.header("Wasabicart-Ticket", ticket);
		}
		if (arrival.kind().order()) {
			request.POST(HttpRequest.BodyPublishers.ofString(arrival.requestId()));
		}
		return this.client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray());
	}

	CompletableFuture<String> reserveTicket(String entryUrl, Duration timeout) {
		HttpRequest request = HttpRequest.newBuilder(URI.create(entryUrl + "/wasabicart/tickets"))
			.timeout(timeout)
			.header("Wasabicart-Tenant", this.tenant)
			.POST(HttpRequest.BodyPublishers.noBody())
			.build();
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
			.handle((response, ex) -> (response != null) ? ticketOf(response) : "");
	}

	private static String ticketOf(HttpResponse<byte[]> response) {
		String header = response.headers().firstValue("Wasabicart-Ticket").orElse("");
		if (!header.isEmpty() || response.statusCode() < OK || response.statusCode() >= OK + 100) {
			return header;
		}
		JsonNode body = Json.parse(response.body());
		return body.path("ticket").asText("");
	}

	CompletableFuture<HttpResponse<byte[]>> fetchResult(String entryUrl, String ticket, Duration timeout) {
		HttpRequest request = HttpRequest.newBuilder(URI.create(entryUrl + "/wasabicart/tickets/" + ticket))
			.timeout(timeout)
			.header("Wasabicart-Tenant", this.tenant)
			.build();
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
	}

}
