package org.wasabicart.standin.backend;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

import org.wasabicart.standin.http.Addresses;
import org.wasabicart.standin.http.Json;
import org.wasabicart.standin.http.ProgramFlags;

/**
 * Runs backend servers as a process. On SIGTERM they drain, and the process ends when
 * their requests have completed or the drain timeout has passed.
 */
public final class BackendMain {

	private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(20);

	private static final long DRAIN_POLL_MILLISECONDS = 20;

	// Flags that configure a single server; each corresponds to a field of the JSON form.
	private static final List<String> SERVER_FLAGS = List.of("service", "address", "node", "call-url", "slots",
			"connections", "service-milliseconds", "jitter", "calls", "answer-bytes", "starting-milliseconds",
			"cold-milliseconds", "cold-factor", "seed");

	private BackendMain() {
	}

	/**
	 * Starts the servers.
	 * @param arguments flags of one server, or {@code --servers FILE} with a JSON array
	 * of servers; optionally {@code --history FILE}
	 * @throws Exception if the arguments are wrong or an address cannot be bound
	 */
	public static void main(String[] arguments) throws Exception {
		OptionParser parser = new OptionParser();
		SERVER_FLAGS.forEach((flag) -> parser.accepts(flag).withRequiredArg());
		parser.accepts("servers", "JSON file with an array of server configurations").withRequiredArg();
		parser.accepts("history", "File to which the history of runs is appended").withRequiredArg();
		OptionSet options = ProgramFlags.parse(parser, arguments);
		RunHistory history = options.has("history") ? RunHistory.open(Path.of((String) options.valueOf("history")))
				: RunHistory.discarding();
		BackendEnvironment environment = new BackendEnvironment(history);
		List<BackendServer> servers = new ArrayList<>();
		for (JsonNode server : servers(options)) {
			servers.add(BackendServer.start(environment, BackendConfiguration.of(server)));
		}
		Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(servers), "drain"));
		servers.forEach((server) -> System.out.println("ready " + Addresses.format(server.address())));
		new CountDownLatch(1).await();
	}

	private static Iterable<JsonNode> servers(OptionSet options) throws IOException {
		if (options.has("servers")) {
			return Json.parse(Files.readAllBytes(Path.of((String) options.valueOf("servers"))));
		}
		ObjectNode server = Json.object();
		for (String flag : SERVER_FLAGS) {
			if (options.has(flag)) {
				server.put(toFieldName(flag), (String) options.valueOf(flag));
			}
		}
		return List.of(server);
	}

	private static String toFieldName(String flag) {
		StringBuilder name = new StringBuilder();
		for (String word : flag.split("-")) {
			name.append(name.isEmpty() ? word : Character.toUpperCase(word.charAt(0)) + word.substring(1));
		}
		return name.toString();
	}

	private static void drain(List<BackendServer> servers) {
		servers.forEach(BackendServer::drain);
		long deadline = System.nanoTime() + DRAIN_TIMEOUT.toNanos();
		try {
			while (System.nanoTime() < deadline && !servers.stream().allMatch(BackendServer::idle)) {
				Thread.sleep(DRAIN_POLL_MILLISECONDS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
