package org.wasabicart.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.Deque;
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

/**
 * Sound stand-in of the platform's metadata store.
 */
final class StoreStandIn implements AutoCloseable {

	/** Time that the platform's store takes for an answer. */
	private static final long ANSWER_MILLISECONDS = 4;

	/** Time for which the platform's store keeps its history ({@code history_s}). */
	private static final long HISTORY_NANOSECONDS = TimeUnit.SECONDS.toNanos(20);

	private final ObjectMapper mapper = new ObjectMapper();

	private final HttpServer server;

	private final TreeMap<String, ObjectNode> items = new TreeMap<>();

	private final Deque<Event> events = new ArrayDeque<>();

	/** Revision of the last change that the history no longer has. */
	private long historyStart;

	private final Map<Long, Lease> leases = new HashMap<>();

	private long revision = 1;

	private boolean closed;

	StoreStandIn() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
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

	/**
	 * Writes an item of the operator.
	 * @param key key
	 * @param value value
	 */
	synchronized void put(String key, String value) {
		change(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
	}

	private void change(String key, String value, long lease) {
		this.revision++;
		ObjectNode item = this.mapper.createObjectNode().put("key", key).put("revision", this.revision);
		ObjectNode previous = this.items.get(key);
		if (value == null) {
			this.items.remove(key);
			item.put("tombstone", true);
		}
		else {
			long created = (previous != null) ? previous.path("created").asLong() : this.revision;
			item.put("value", value).put("created", created).put("lease", lease);
			this.items.put(key, item);
		}
		this.events.addLast(new Event(System.nanoTime(), item));
		notifyAll();
	}

	private synchronized void endLeases() {
		long now = System.nanoTime();
		List<Long> ended = this.leases.entrySet()
			.stream()
			.filter((lease) -> now - lease.getValue().end > 0)
			.map(Map.Entry::getKey)
			.toList();
		for (long lease : ended) {
			this.leases.remove(lease);
			List<String> keys = this.items.values()
				.stream()
				.filter((item) -> item.path("lease").asLong() == lease)
				.map((item) -> item.path("key").asText())
				.toList();
			keys.forEach((key) -> change(key, null, 0));
		}
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			byte[] body = exchange.getRequestBody().readAllBytes();
			TimeUnit.MILLISECONDS.sleep(ANSWER_MILLISECONDS);
			endLeases();
			String path = exchange.getRequestURI().getPath();
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			JsonNode document = (body.length > 0) ? this.mapper.readTree(body) : this.mapper.createObjectNode();
			ObjectNode answer = this.mapper.createObjectNode();
			int status = answer(path, query, document, answer);
			byte[] bytes = this.mapper.writeValueAsBytes(answer);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(status, bytes.length);
			exchange.getResponseBody().write(bytes);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new HashMap<>();
		for (String pair : ((text != null) ? text : "").split("&")) {
			int separator = pair.indexOf('=');
			if (separator > 0) {
				query.put(pair.substring(0, separator),
						URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
			}
		}
		return query;
	}

	private synchronized int answer(String path, Map<String, String> query, JsonNode document, ObjectNode answer)
			throws InterruptedException {
		if (path.startsWith("/kv-keep/")) {
			Lease lease = this.leases.get(Long.parseLong(path.substring("/kv-keep/".length())));
			if (lease != null) {
				lease.renew();
			}
			return (lease != null) ? 200 : 404;
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
				ArrayNode found = answer.putArray("items");
				String prefix = query.getOrDefault("prefix", "");
				this.items.values().stream().filter((item) -> hasPrefix(item, prefix)).forEach(found::add);
				answer.put("as_of", this.revision).put("more_pages", false);
				return 200;
			}
			case "/kv-watch":
				return watch(query, answer);
			case "/kv-txn":
				return apply(document, answer);
			case "/kv-lease": {
				long id = ++this.revision;
				long timeToLive = document.path("ttl_ms").asLong();
				this.leases.put(id, new Lease(timeToLive));
				answer.put("lease", id).put("ttl_ms", timeToLive);
				return 200;
			}
			default:
				return 404;
		}
	}

	private static boolean hasPrefix(ObjectNode item, String prefix) {
		return item.path("key").asText().startsWith(prefix);
	}

	private int watch(Map<String, String> query, ObjectNode answer) throws InterruptedException {
		long after = Long.parseLong(query.getOrDefault("after", "0"));
		while (!this.events.isEmpty() && System.nanoTime() - this.events.peekFirst().time > HISTORY_NANOSECONDS) {
			this.historyStart = this.events.removeFirst().item.path("revision").asLong();
		}
		if (after < this.historyStart) {
			return 410;
		}
		String prefix = query.getOrDefault("prefix", "");
		long end = System.nanoTime()
				+ TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("wait_ms", "0")));
		List<ObjectNode> found = eventsAfter(after, prefix);
		while (found.isEmpty() && System.nanoTime() - end < 0 && !this.closed) {
			wait(200);
			endLeases();
			found = eventsAfter(after, prefix);
		}
		found.forEach(answer.putArray("events")::add);
		answer.put("as_of", this.revision);
		return 200;
	}

	private List<ObjectNode> eventsAfter(long after, String prefix) {
		return this.events.stream()
			.map(Event::item)
			.filter((event) -> event.path("revision").asLong() > after && hasPrefix(event, prefix))
			.toList();
	}

	private int apply(JsonNode document, ObjectNode answer) {
		ArrayNode conflicts = answer.putArray("items");
		for (JsonNode expected : document.path("expected_revision")) {
			ObjectNode item = this.items.get(expected.path("key").asText());
			if (((item != null) ? item.path("revision").asLong() : 0) != expected.path("revision").asLong()) {
				conflicts.add((item != null) ? item : this.mapper.createObjectNode());
			}
		}
		if (!conflicts.isEmpty()) {
			return 412;
		}
		for (JsonNode put : document.path("puts")) {
			long lease = put.path("lease").asLong();
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return 404;
			}
			change(put.path("key").asText(), put.path("value").asText(), lease);
		}
		for (JsonNode key : document.path("deletes")) {
			change(key.asText(), null, 0);
		}
		answer.put("revision", this.revision);
		return 200;
	}

	@Override
	public void close() {
		synchronized (this) {
			this.closed = true;
			notifyAll();
		}
		this.server.stop(0);
	}

	/**
	 * Change of an item.
	 *
	 * @param time time of the change in nanoseconds
	 * @param item item as it was written, or its tombstone
	 */
	private record Event(long time, ObjectNode item) {

	}

	private static final class Lease {

		private final long timeToLive;

		private long end;

		Lease(long milliseconds) {
			this.timeToLive = TimeUnit.MILLISECONDS.toNanos(milliseconds);
			renew();
		}

		void renew() {
			this.end = System.nanoTime() + this.timeToLive;
		}

	}

}
