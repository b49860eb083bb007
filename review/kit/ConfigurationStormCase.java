package org.wasabicart.review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Versions of a long configuration follow each other quickly; the last one adds a route.
 */
final class ConfigurationStormCase {

	private static final String SERVICE = "orders";

	private static final String HOST = "shop.example";

	/** Routes of the configuration, which then has almost {@code value_bytes}. */
	private static final int ROUTES = 4200;

	private static final int MAXIMUM_VALUE_BYTES = 1_048_576;

	private static final int VERSIONS = 23;

	private static final int INTERVAL_MILLISECONDS = 80;

	/** Longest storm on the pages. */
	private static final int MAXIMUM_STORM_MILLISECONDS = 2000;

	/** Time after which a version must be in force ({@code config_apply_ms}). */
	private static final int APPLY_MILLISECONDS = 2000;

	private static final int OBSERVATION_MILLISECONDS = 10_000;

	private static final int REQUEST_INTERVAL_MILLISECONDS = 500;

	private static final int DEADLINE_MILLISECONDS = 5000;

	private final Record record;

	private final boolean trouble;

	private ConfigurationStormCase(Record record, boolean trouble) {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] arguments) {
		ReviewCase.run(arguments, (record, trouble) -> new ConfigurationStormCase(record, trouble).play());
	}

	private int play() throws IOException, InterruptedException {
		List<String> routes = new ArrayList<>();
		routes.add(Deployment.route(HOST, "/order/", "unsafe", 1000, SERVICE));
		for (int i = 1; i < ROUTES; i++) {
			routes.add(Deployment.route("host" + i + ".example", "/design" + i + "/", "safe", 800, SERVICE));
		}
		int stale = 0;
		int requests = 0;
		try (Deployment deployment = new Deployment(this.record,
				Deployment.configuration(Deployment.FIRST_VERSION, SERVICE, routes))) {
			deployment.start(SERVICE, 140, this::handle, "jhb-a", "jhb-b");
			for (int machine = 0; machine < 2; machine++) {
				if (status(deployment, machine, "host5.example", "/design5/a", "before-" + machine) != 200) {
					return -1;
				}
			}
			int version = Deployment.FIRST_VERSION;
			long stormStart = System.nanoTime();
			for (int i = 1; this.trouble && i < VERSIONS; i++) {
				deployment.configure(Deployment.configuration(++version, SERVICE, routes));
				this.record.log("operator: version %08x is acknowledged", version);
				TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLISECONDS);
			}
			routes.add(Deployment.route(HOST, "/new/", "safe", 800, SERVICE));
			String last = Deployment.configuration(++version, SERVICE, routes);
			deployment.configure(last);
			long acknowledged = System.nanoTime();
			long storm = TimeUnit.NANOSECONDS.toMillis(acknowledged - stormStart);
			this.record.log("operator: version %08x, which adds the route /new/, is acknowledged %d ms after the start of the "
					+ "storm; it has %d bytes", version, storm, last.length());
			if (last.length() > MAXIMUM_VALUE_BYTES || storm > MAXIMUM_STORM_MILLISECONDS) {
				return -1;
			}
			TimeUnit.MILLISECONDS.sleep(APPLY_MILLISECONDS);
			long end = acknowledged + TimeUnit.MILLISECONDS.toNanos(OBSERVATION_MILLISECONDS);
			while (System.nanoTime() - end < 0) {
				TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLISECONDS);
				for (int machine = 0; machine < 2; machine++) {
					requests++;
					boolean missing = status(deployment, machine, HOST, "/new/a", "new-" + requests) == 404;
					stale += missing ? 1 : 0;
					if (missing) {
						this.record.log("CONFIG: 404 for the new route %d ms after its ack",
								TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acknowledged));
					}
				}
			}
			deployment.recordLogs("configuration-in-force|store-lost|store-reached|store-history", 40);
		}
		this.record.log("requests on the new route later than %d ms after its ack: %d, refused with 404 (CONFIG): %d",
				APPLY_MILLISECONDS, requests, stale);
		return stale;
	}

	private int status(Deployment deployment, int machine, String host, String path, String id)
			throws IOException, InterruptedException {
		try (Client client = new Client(deployment.machine(machine).entry(), 0)) {
			client.send("GET", host, path, id, DEADLINE_MILLISECONDS, new byte[0]);
			Client.Answer answer = client
				.read(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLISECONDS), 0);
			this.record.log("client at %s: sent %s %s%s, received: %s", deployment.machine(machine).name(), id, host,
					path, answer);
			return answer.status();
		}
	}

	private void handle(ServerStandIn server, Socket socket, InputStream input, HttpMessage request)
			throws IOException {
		input.skipNBytes(request.contentLength());
		this.record.log("server %s: runs %s", server.instance(), request.header("Request-Id"));
		ServerStandIn.write(socket.getOutputStream(), server.head("200 OK", request, 2) + "ok");
	}

}
