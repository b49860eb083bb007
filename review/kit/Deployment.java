package org.wasabicart.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Small deployment on loopback addresses: the platform's store, machines with a node
 * each, and the servers beside them.
 */
final class Deployment implements AutoCloseable {

	/** Version of the configuration with which a deployment starts. */
	static final int FIRST_VERSION = 7;

	/** Time from the start of the machines to the start of traffic. */
	private static final long LEAD_SECONDS = 13;

	private final Path folder = Files.createTempDirectory("wasabicart-review");

	private final StoreStandIn store = new StoreStandIn();

	private final List<Machine> machines = new ArrayList<>();

	private final List<ServerStandIn> servers = new ArrayList<>();

	private final Record record;

	Deployment(Record record, String configuration) throws IOException {
		this.record = record;
		this.store.put("op/config", configuration);
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	/**
	 * Returns an entry of the operator's configuration for a route.
	 * @param host host
	 * @param prefix prefix
	 * @param kind {@code safe} or {@code unsafe}
	 * @param timeout {@code timeout_ms}
	 * @param service service
	 * @return the entry as JSON
	 */
	static String route(String host, String prefix, String kind, int timeout, String service) {
		String name = (host + prefix).replace(".example", "").replace('/', '-');
		return String.format(
				"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"r-%s\"},\"specification\":{\"host\":\"%s\","
						+ "\"prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%d,\"target_latency_ms\":1500,"
						+ "\"priority\":0,\"service\":\"%s\",\"max_attempts\":2}}",
				name, host, prefix, kind, timeout, service);
	}

	/**
	 * Returns a configuration of routes to one service, with the limits that the pages
	 * show.
	 * @param version version
	 * @param service service
	 * @param routes routes
	 * @return the configuration as JSON
	 */
	static String configuration(int version, String service, List<String> routes) {
		return String.format("{\"version\":\"%08x\",", version) + "\"resources\":[" + String.join(",", routes)
				+ ",{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"" + service
				+ "\"},\"specification\":{\"health_path\":\"/health\",\"max_connections\":940,\"protocol\":\"h1\","
				+ "\"tls\":false}},{\"entry_kind\":\"limits\",\"metadata\":{},\"specification\":{\"header_bytes\":16384,"
				+ "\"body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}]}";
	}

	/**
	 * Starts one machine for each zone, with a server of the service beside each, and
	 * waits until traffic may start.
	 * @param service service
	 * @param slots slots of each server
	 * @param behaviour behaviour of the servers
	 * @param zones zones of the machines
	 */
	void start(String service, int slots, ServerStandIn.Behaviour behaviour, String... zones)
			throws IOException, InterruptedException {
		String network = Machine.freeNetwork(zones.length);
		for (int i = 0; i < zones.length; i++) {
			Machine machine = new Machine(network, i + 1, zones[i], service, this.store.address(), this.folder);
			this.machines.add(machine);
			machine.start();
			this.servers.add(new ServerStandIn(machine, service, "i-" + (i + 1), slots, behaviour, this.record));
		}
		TimeUnit.SECONDS.sleep(LEAD_SECONDS);
		for (Machine machine : this.machines) {
			if (!machine.isReady()) {
				throw new IOException(machine.name() + " is not ready: " + Files.readString(machine.log()));
			}
		}
		this.record.log("all %d machines are ready", zones.length);
	}

	/**
	 * Writes a configuration of the operator. The store has acknowledged it when this
	 * returns.
	 * @param configuration configuration as JSON
	 */
	void configure(String configuration) {
		this.store.put("op/config", configuration);
	}

	Machine machine(int index) {
		return this.machines.get(index);
	}

	ServerStandIn server(int index) {
		return this.servers.get(index);
	}

	/**
	 * Copies the lines of the nodes' logs that a filter selects to the record.
	 * @param pattern regular expression that a line must contain
	 * @param limit maximum number of lines of each node
	 */
	void recordLogs(String pattern, int limit) throws IOException {
		for (Machine machine : this.machines) {
			try (Stream<String> lines = Files.lines(machine.log())) {
				lines.filter((line) -> line.matches(".*(" + pattern + ").*"))
					.limit(limit)
					.forEach((line) -> this.record.log("log of %s: %s", machine.name(), line));
			}
		}
	}

	@Override
	public synchronized void close() {
		this.machines.forEach(Machine::close);
		this.servers.forEach(ServerStandIn::close);
		this.store.close();
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
		catch (IOException ex) {
			// Removed by an earlier call.
		}
	}

}
