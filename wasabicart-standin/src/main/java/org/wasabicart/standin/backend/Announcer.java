package org.wasabicart.standin.backend;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.wasabicart.standin.http.Addresses;
import org.wasabicart.standin.http.Json;

/**
 * Announces a backend server to its node every second, and at once when the server drains
 * or restarts.
 */
final class Announcer {

	private static final long INTERVAL_MILLISECONDS = 1000;

	private static final Duration TIMEOUT = Duration.ofMillis(900);

	private final BackendEnvironment environment;

	private final BackendConfiguration configuration;

	private final Supplier<InetSocketAddress> address;

	private final Supplier<String> state;

	private ScheduledFuture<?> timer;

	Announcer(BackendEnvironment environment, BackendConfiguration configuration, Supplier<InetSocketAddress> address,
			Supplier<String> state) {
		this.environment = environment;
		this.configuration = configuration;
		this.address = address;
		this.state = state;
	}

	void start() {
		if (!this.configuration.node().isEmpty()) {
			this.timer = this.environment.timer()
				.scheduleAtFixedRate(this::announce, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
		}
	}

	void announce() {
		if (this.configuration.node().isEmpty()) {
			return;
		}
		String body = Json.format(Json.object()
			.put("service", this.configuration.service())
			.put("address", Addresses.format(this.address.get()))
			.put("slots", this.configuration.slots())
			.put("connections", this.configuration.connections())
			.put("state", this.state.get()));
		HttpRequest request = HttpRequest.newBuilder(URI.create(this.configuration.node() + "/wasabicart/announcement"))
			.timeout(TIMEOUT)
			.header("Content-Type", "application/json")
			.PUT(HttpRequest.BodyPublishers.ofString(body))
			.build();
		// The result is ignored: a failed announcement is repeated after the interval.
		this.environment.client().sendAsync(request, HttpResponse.BodyHandlers.discarding());
	}

	void stop() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

}
