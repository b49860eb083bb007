package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment: the store, servers and one process of the project beside each. */
final class Setup {

	static final Map<String, String> BOUNDS = Map.of("drain_ms", "2000", "grace_s", "6", "budget_ratio", "0.2");

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Journal journal;

	final Path temporary;

	final Store store = new Store();

	final List<Node> nodes = new ArrayList<>();

	final List<Server> servers = new ArrayList<>();

	private final int subnet = (int) (ProcessHandle.current().pid() % 200) + 20;

	Setup(String folder) throws IOException {
		this.journal = new Journal(Path.of(folder));
		this.temporary = Files.createTempDirectory("case");
		Runtime.getRuntime().addShutdownHook(new Thread(this::end));
		Server.start("limit", () -> {
			Server.pause(112_000);
			couldNotRun("took too long");
		});
		Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
			failure.printStackTrace();
			if ("main".equals(thread.getName())) {
				couldNotRun("exception " + failure);
			}
		});
	}

	static String route(String name, String kind, String service, int timeout) {
		return "{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"r-" + name + "\"},\"specification\":{\"host\":\"" + name
				+ ".example\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeout
				+ ",\"target_latency_ms\":1500,\"priority\":1,\"service\":\"" + service
				+ "\",\"max_attempts\":2,\"allow_anonymous\":false}}";
	}

	static String service(String name) {
		return "{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"" + name
				+ "\"},\"specification\":{\"health_path\":\"/health\",\"max_connections\":900}}";
	}

	void configure(String version, String... resources) {
		this.store.put("op/config", "{\"version\":\"" + version + "\",\"resources\":[" + String.join(",", resources)
				+ ",{\"entry_kind\":\"limits\",\"metadata\":{},\"specification\":{\"header_bytes\":16384,"
				+ "\"body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}]}");
	}

	/** Starts a server with its node; the server's check-ins begin when startBeating is called. */
	Node add(String service, int workMilliseconds) throws IOException {
		int number = this.nodes.size();
		String ip = "127." + this.subnet + ".7." + (10 + number);
		Server server = new Server(this.journal, ip, service, "i-" + service + "-" + number, workMilliseconds);
		Node node = new Node(this.journal, this.temporary, "node-" + number, ip, "z-" + (char) ('a' + number % 2), "r-a",
				service, server.address(), this.store.address(), BOUNDS);
		server.control = node.control();
		this.nodes.add(node);
		this.servers.add(server);
		node.start();
		return node;
	}

	void startBeating() {
		this.servers.forEach(Server::startBeating);
	}

	void awaitReady() {
		for (Node node : this.nodes) {
			if (!node.awaitReady(30000)) {
				try {
					node.log().lines().limit(10).forEach((line) -> this.journal.say("%s: %s", node.name, line));
				}
				catch (IOException ex) {
					this.journal.say("no log: %s", ex);
				}
				couldNotRun("node is not ready: " + node.name + (node.process.isAlive() ? "" : ", it has ended"));
			}
		}
	}

	void couldNotRun(String reason) {
		this.journal.say("could not run: %s", reason);
		System.exit(2);
	}

	void finish(boolean broken) {
		this.journal.say(broken ? "RULE BROKEN" : "rule held");
		System.exit(broken ? 1 : 0);
	}

	private void end() {
		this.nodes.forEach(Node::close);
		this.journal.close();
		if (Boolean.getBoolean("keep")) {
			System.out.println("logs: " + this.temporary);
			return;
		}
		try (Stream<Path> files = Files.walk(this.temporary)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			System.err.println(ex);
		}
	}

}
