package review2;

import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with the command of deploy/system.toml. */
final class Node implements AutoCloseable {

	private final Journal journal;

	final String name;

	final String ip;

	final Map<String, String> fields = new HashMap<>();

	private final List<String> command;

	private final Path settings;

	private final Path log;

	volatile Process process;

	Node(Journal journal, Path temporary, String name, String ip, String zone, String region, String service,
			String backend, String store, Map<String, String> bounds) throws IOException {
		this.journal = journal;
		this.name = name;
		this.ip = ip;
		this.fields.put("node_name", name);
		this.fields.put("zone", zone);
		this.fields.put("region", region);
		this.fields.put("service", service);
		this.fields.put("ip", ip);
		this.fields.put("application_address", backend);
		this.fields.put("platform.address", store);
		for (String address : List.of("outbound", "inbound", "ready", "control")) {
			this.fields.put("listen_addresses." + address, ip + ":" + freePort(ip));
		}
		bounds.forEach((key, value) -> this.fields.put("bounds." + key, value));
		this.command = command();
		this.log = temporary.resolve(name + ".log");
		this.settings = temporary.resolve(name + ".toml");
		Files.writeString(this.settings, "[local_node]\nnode_name = \"" + name + "\"\nip = \"" + ip + "\"\nzone = \""
				+ zone + "\"\nregion = \"" + region + "\"\nservice = \"" + service + "\"\n");
	}

	private static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
			return socket.getLocalPort();
		}
	}

	private List<String> command() throws IOException {
		String run = Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.findFirst()
			.orElseThrow();
		run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
		List<String> words = new ArrayList<>();
		for (String word : run.split(" ")) {
			for (Map.Entry<String, String> field : this.fields.entrySet()) {
				word = word.replace("{{" + field.getKey() + "}}", field.getValue());
			}
			words.add(word);
		}
		return words;
	}

	String entry() {
		return this.fields.get("listen_addresses.outbound");
	}

	String control() {
		return this.fields.get("listen_addresses.control");
	}

	String link() {
		return this.fields.get("listen_addresses.inbound");
	}

	void start() throws IOException {
		ProcessBuilder builder = new ProcessBuilder(this.command);
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(Arrays.asList("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("WASABICART_SETTINGS", this.settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(this.log.toString())));
		this.process = builder.start();
		this.journal.line("start node=%s pid=%d", this.name, this.process.pid());
	}

	/** Sends a signal to the process, which this object has started. */
	void signal(String signal) throws IOException, InterruptedException {
		this.journal.line("signal node=%s signal=%s", this.name, signal);
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	void kill() {
		this.journal.line("signal node=%s signal=KILL", this.name);
		this.process.destroyForcibly();
	}

	boolean ready() {
		String address = this.fields.get("listen_addresses.ready");
		int colon = address.lastIndexOf(':');
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.ip, Integer.parseInt(address.substring(colon + 1))), 500);
			socket.setSoTimeout(500);
			socket.getOutputStream()
				.write("GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	boolean awaitReady(long milliseconds) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
		while (System.nanoTime() - end < 0) {
			if (ready()) {
				return true;
			}
			Server.pause(50);
		}
		return false;
	}

	String log() throws IOException {
		return Files.readString(this.log, StandardCharsets.ISO_8859_1);
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
			try {
				this.process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
