package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
final class Store implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpServer server;

	private final TreeMap<String, ObjectNode> items = new TreeMap<>();

	private final List<ObjectNode> events = new ArrayList<>();

	private final Map<Long, long[]> leases = new HashMap<>();

	private long revision = 1;

	private long nextLease = 1000;

	private static final int UNANSWERED = 0;

	private volatile boolean down;

	private long downSince;

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	/** While the store is down, it is silent: it does nothing and answers no call, also later. Leases pause. */
	synchronized void down(boolean value) {
		down(value, false);
	}

	/** As above; with lapse, leases run out meanwhile. */
	synchronized void down(boolean value, boolean lapse) {
		long now = System.nanoTime();
		if (value && !this.down) {
			this.downSince = now;
		}
		else if (!value && this.down && !lapse) {
			this.leases.values().forEach((lease) -> lease[0] += now - this.downSince);
		}
		this.down = value;
		notifyAll();
	}

	synchronized void put(String key, String text) {
		change(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
	}

	synchronized int count(String prefix) {
		return (int) this.items.keySet().stream().filter((key) -> key.startsWith(prefix)).count();
	}

	private void change(String key, String value, long lease) {
		this.revision++;
		ObjectNode item = MAPPER.createObjectNode().put("key", key).put("revision", this.revision);
		if (value == null) {
			this.items.remove(key);
			item.put("tombstone", true);
		}
		else {
			ObjectNode previous = this.items.get(key);
			item.put("value", value).put("lease", lease);
			item.put("created", (previous != null) ? previous.path("created").asLong() : this.revision);
			this.items.put(key, item);
		}
		this.events.add(item);
		notifyAll();
	}

	private void expire() {
		if (this.down) {
			return;
		}
		long now = System.nanoTime();
		for (long lease : this.leases.keySet().stream().filter((id) -> now - this.leases.get(id)[0] > 0).toList()) {
			this.leases.remove(lease);
			this.items.values()
				.stream()
				.filter((item) -> item.path("lease").asLong() == lease)
				.map((item) -> item.path("key").asText())
				.toList()
				.forEach((key) -> change(key, null, 0));
		}
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			byte[] body = exchange.getRequestBody().readAllBytes();
			ObjectNode answer = MAPPER.createObjectNode();
			int status;
			synchronized (this) {
				status = this.down ? UNANSWERED : dispatch(exchange, body, answer);
				if (status == UNANSWERED) {
					while (this.down) {
						wait();
					}
					return;
				}
			}
			byte[] bytes = MAPPER.writeValueAsBytes(answer);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(status, bytes.length);
			exchange.getResponseBody().write(bytes);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private int dispatch(HttpExchange exchange, byte[] body, ObjectNode answer)
			throws IOException, InterruptedException {
		expire();
		String path = exchange.getRequestURI().getPath();
		Map<String, String> query = new HashMap<>();
		String text = exchange.getRequestURI().getRawQuery();
		for (String pair : ((text != null) ? text : "").split("&")) {
			int separator = pair.indexOf('=');
			if (separator > 0) {
				query.put(pair.substring(0, separator),
						URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
			}
		}
		JsonNode document = (body.length > 0) ? MAPPER.readTree(body) : MAPPER.createObjectNode();
		if (path.startsWith("/kv-keep/")) {
			long[] lease = this.leases.get(Long.parseLong(path.substring("/kv-keep/".length())));
			if (lease == null) {
				return 404;
			}
			lease[0] = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lease[1]);
			answer.put("ttl_ms", lease[1]);
			return 200;
		}
		if (path.startsWith("/kv-lease-end/")) {
			long[] lease = this.leases.get(Long.parseLong(path.substring("/kv-lease-end/".length())));
			if (lease == null) {
				return 404;
			}
			lease[0] = System.nanoTime();
			return 200;
		}
		switch (path) {
			case "/kv-key": {
				ObjectNode item = this.items.get(query.get("key"));
				if (item != null) {
					answer.setAll(item);
				}
				answer.put("as_of", this.revision);
				return (item != null) ? 200 : 404;
			}
			case "/kv-range": {
				String prefix = query.getOrDefault("prefix", "");
				String after = query.getOrDefault("after", "");
				ArrayNode found = answer.putArray("items");
				this.items.values()
					.stream()
					.filter((item) -> item.path("key").asText().startsWith(prefix)
							&& item.path("key").asText().compareTo(after) > 0)
					.forEach(found::add);
				answer.put("more_pages", false).put("as_of", this.revision);
				return 200;
			}
			case "/kv-watch":
				return watch(query, answer);
			case "/kv-txn":
				return transact(document, answer);
			case "/kv-lease": {
				long lease = this.nextLease++;
				long time = Math.max(1000, document.path("ttl_ms").asLong());
				this.leases.put(lease,
						new long[] { System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(time), time });
				answer.put("lease", lease).put("ttl_ms", time);
				return 200;
			}
			default:
				return 404;
		}
	}

	private int watch(Map<String, String> query, ObjectNode answer) throws InterruptedException {
		long after = Long.parseLong(query.getOrDefault("after", "0"));
		String prefix = query.getOrDefault("prefix", "");
		long end = System.nanoTime()
				+ TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("wait_ms", "0")));
		List<ObjectNode> found = since(after, prefix);
		while (found.isEmpty() && System.nanoTime() - end < 0 && !this.down) {
			wait(100);
			expire();
			found = since(after, prefix);
		}
		if (this.down) {
			return UNANSWERED;
		}
		found.forEach(answer.putArray("events")::add);
		answer.put("as_of", this.revision);
		return 200;
	}

	private List<ObjectNode> since(long after, String prefix) {
		return this.events.stream()
			.filter((event) -> event.path("revision").asLong() > after
					&& event.path("key").asText().startsWith(prefix))
			.toList();
	}

	private int transact(JsonNode document, ObjectNode answer) {
		ArrayNode conflicts = MAPPER.createArrayNode();
		for (JsonNode expected : document.path("expected_revision")) {
			ObjectNode item = this.items.get(expected.path("key").asText());
			long actual = (item != null) ? item.path("revision").asLong() : 0;
			if (actual != expected.path("revision").asLong()) {
				conflicts.add((item != null) ? item
						: MAPPER.createObjectNode().put("key", expected.path("key").asText()).put("revision", 0));
			}
		}
		if (!conflicts.isEmpty()) {
			answer.set("items", conflicts);
			return 412;
		}
		for (JsonNode put : document.path("puts")) {
			long lease = put.path("lease").asLong();
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return 404;
			}
		}
		for (JsonNode put : document.path("puts")) {
			change(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong());
		}
		for (JsonNode key : document.path("deletes")) {
			change(key.asText(), null, 0);
		}
		answer.put("revision", this.revision);
		return 200;
	}

	@Override
	public void close() {
		down(true);
		this.server.stop(0);
	}

}
