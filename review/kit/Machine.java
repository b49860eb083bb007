package org.wasabicart.review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One machine: a node process, started with the command of the deploy file on a loopback
 * address of its own, and the address of the server beside it.
 */
final class Machine implements AutoCloseable {

	/** Port of the metrics in the deploy file. */
	private static final int METRICS_PORT = 9464;

	private static final int LINK_PORT = 8300;

	private static final int SERVER_PORT = 8301;

	private static final int READINESS_PORT = 8302;

	private static final int ENTRY_PORT = 8304;

	private static final int CONTROL_PORT = 8306;

	private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]*)}}");

	private final String name;

	private final String address;

	private final List<String> command;

	private final Path log;

	private Process process;

	/**
	 * Describes a machine.
	 * @param network second and third byte of the loopback addresses, such as {@code 80.3}
	 * @param number number of the machine, 1 to 250
	 * @param zone zone
	 * @param service service of the server
	 * @param storeAddress address of the platform's store
	 * @param logs folder for the log of the process
	 */
	Machine(String network, int number, String zone, String service, String storeAddress, Path logs)
			throws IOException {
		this.name = "sidecar-" + zone + "-" + number;
		this.address = "127." + network + "." + number;
		this.log = logs.resolve(this.name + ".log");
		Map<String, String> settings = Map.ofEntries(Map.entry("node_name", this.name), Map.entry("zone", zone),
				Map.entry("region", "gauteng"), Map.entry("service", service), Map.entry("ip", this.address),
				Map.entry("application_address", this.address + ":" + SERVER_PORT),
				Map.entry("listen_addresses.inbound", this.address + ":" + LINK_PORT),
				Map.entry("listen_addresses.outbound", this.address + ":" + ENTRY_PORT),
				Map.entry("listen_addresses.ready", this.address + ":" + READINESS_PORT),
				Map.entry("listen_addresses.control", this.address + ":" + CONTROL_PORT),
				Map.entry("platform.address", storeAddress), Map.entry("bounds.drain_ms", "2000"),
				Map.entry("bounds.grace_s", "6"), Map.entry("bounds.budget_ratio", "0.2"));
		Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no command");
		}
		String filled = PLACEHOLDER.matcher(run.group(1))
			.replaceAll((placeholder) -> Matcher.quoteReplacement(settings.get(placeholder.group(1))));
		this.command = List.of(filled.split(" "));
	}

	/**
	 * Returns loopback addresses on which all ports of the machines are free.
	 * @param machines number of machines
	 * @return second and third byte of the addresses
	 */
	static String freeNetwork(int machines) throws IOException {
		int start = (int) (ProcessHandle.current().pid() % 200);
		for (int i = 0; i < 200; i++) {
			String network = "81." + (1 + (start + i) % 200);
			if (isFree(network, machines)) {
				return network;
			}
		}
		throw new IOException("no free loopback addresses");
	}

	private static boolean isFree(String network, int machines) {
		for (int number = 1; number <= machines; number++) {
			for (int port : List.of(METRICS_PORT, LINK_PORT, SERVER_PORT, READINESS_PORT, ENTRY_PORT, CONTROL_PORT)) {
				try (ServerSocket socket = new ServerSocket()) {
					socket.setReuseAddress(true);
					socket.bind(new InetSocketAddress(InetAddress.getByName("127." + network + "." + number), port));
				}
				catch (IOException ex) {
					return false;
				}
			}
		}
		return true;
	}

	String name() {
		return this.name;
	}

	InetSocketAddress server() {
		return new InetSocketAddress(this.address, SERVER_PORT);
	}

	InetSocketAddress entry() {
		return new InetSocketAddress(this.address, ENTRY_PORT);
	}

	String control() {
		return this.address + ":" + CONTROL_PORT;
	}

	Path log() {
		return this.log;
	}

	void start() throws IOException {
		this.process = new ProcessBuilder(this.command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(this.log.toString())))
			.start();
	}

	boolean isRunning() {
		return this.process.isAlive();
	}

	/**
	 * Sends a signal to the process of this machine.
	 * @param signal name of the signal without {@code SIG}
	 */
	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	boolean waitForEnd(long milliseconds) throws InterruptedException {
		return this.process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns whether the node says that it is ready.
	 */
	boolean isReady() {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://" + this.address + ":" + READINESS_PORT + "/readiness")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(500);
			connection.setReadTimeout(500);
			int status = connection.getResponseCode();
			connection.disconnect();
			return status == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

}
