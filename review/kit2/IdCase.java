package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A check-in of another writer lacks a field, and its id ends with a line break. Checks
 * that servers run only what clients have sent.
 */
public final class IdCase {

	/** Bodies of the requests by id. */
	private static final Map<String, String> sent = new ConcurrentHashMap<>();

	private static final AtomicLong ids = new AtomicLong();

	private static volatile boolean running = true;

	public static void main(String[] arguments) throws Exception {
		Setup setup = new Setup(arguments[0]);
		Journal journal = setup.journal;
		setup.configure("00000007", Setup.route("a", "unsafe", "svc-a", 2000), Setup.service("svc-a"));
		setup.add("svc-a", 20);
		setup.add("svc-a", 20);
		AtomicInteger changed = new AtomicInteger();
		AtomicInteger withoutCaller = new AtomicInteger();
		AtomicInteger runs = new AtomicInteger();
		for (Server server : setup.servers) {
			server.listenerOfRuns = (runner, request) -> {
				runs.incrementAndGet();
				String body = new String(request.body, StandardCharsets.ISO_8859_1);
				String id = request.header("request-id");
				if (id == null || !body.equals(sent.get(id))) {
					changed.incrementAndGet();
					journal.line("CHANGED request=%s sent=\"%s\" arrived=\"%s\"", id, sent.get(String.valueOf(id)),
							body.replace("\r\n", "\\r\\n"));
				}
				if (!"svc-a".equals(request.header("caller-service"))) {
					withoutCaller.incrementAndGet();
				}
			};
		}
		setup.awaitReady();
		setup.startBeating();
		Server.pause(4000);
		for (Node node : setup.nodes) {
			Server.start("client", () -> work(journal, node));
		}
		Server.pause(3000);
		if (setup.trouble) {
			Server server = setup.servers.get(0);
			String body = "{\"born\":" + System.currentTimeMillis()
					+ ",\"server_info\":{\"service\":\"svc-a\",\"version\":\"v1\",\"zone\":\"z-a\",\"slots\":64},"
					+ "\"status\":{\"state\":\"ready\",\"sequence\":1,\"cold_remaining_ms\":0}}";
			int status = server.post("/instances/" + server.instance + "%0D%0A/heartbeat", body);
			journal.say("check-in of another writer without an address, its id ends with a line break: answered %d",
					status);
		}
		Server.pause(6000);
		running = false;
		Server.pause(1000);
		journal.say("runs=%d; with another body than the client sent: %d; without the caller's service: %d", runs.get(),
				changed.get(), withoutCaller.get());
		if (runs.get() == 0) {
			setup.couldNotRun("no request has run");
		}
		setup.finish(changed.get() > 0 || withoutCaller.get() > 0);
	}

	private static void work(Journal journal, Node node) {
		while (running) {
			String id = "u" + ids.incrementAndGet();
			String body = "order=" + id + ";mats=12;surname=none";
			sent.put(id, body);
			try (Client client = new Client(node.entry())) {
				client.send(Client.head("POST", "/a/" + id, "a.example", id, 2000, null, body.length()));
				client.send(body.getBytes(StandardCharsets.ISO_8859_1));
				Http answer = client.receive(2500);
				journal.line("request=%s node=%s status=%s", id, node.name,
						(answer != null) ? answer.status() : "closed");
			}
			catch (IOException ex) {
				journal.line("request=%s node=%s failed=%s", id, node.name, ex);
			}
			Server.pause(50);
		}
	}

}
