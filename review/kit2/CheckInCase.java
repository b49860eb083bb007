package review2;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A check-in of another writer lacks a field; later the server reports that it leaves. */
public final class CheckInCase {

	private static final Map<String, Double> sent = new ConcurrentHashMap<>();

	private static final AtomicLong ids = new AtomicLong();

	private static volatile boolean running = true;

	private static volatile double acknowledged = -1;

	public static void main(String[] arguments) throws Exception {
		Setup setup = new Setup(arguments[0]);
		Journal journal = setup.journal;
		setup.configure("00000007", Setup.route("a", "unsafe", "svc-a", 2000), Setup.service("svc-a"));
		Node first = setup.add("svc-a", 300);
		Node second = setup.add("svc-a", 300);
		Server server = setup.servers.get(0);
		AtomicInteger late = new AtomicInteger();
		server.listenerOfRuns = (runner, request) -> {
			double time = journal.now();
			String id = request.header("request-id");
			if (acknowledged > 0 && time > acknowledged + 2000 && sent.get(id) > acknowledged + 2000) {
				late.incrementAndGet();
			}
		};
		setup.awaitReady();
		setup.startBeating();
		Server.pause(4000);
		AtomicInteger lost = new AtomicInteger();
		for (Node node : setup.nodes) {
			for (int i = 0; i < 4; i++) {
				Server.start("client", () -> work(journal, node, lost));
			}
		}
		Server.pause(4000);
		if (setup.trouble) {
			String body = "{\"born\":" + System.currentTimeMillis() + ",\"server_info\":{\"service\":\"svc-a\",\"version\":\"v1\","
					+ "\"zone\":\"z-a\",\"slots\":64},\"status\":{\"state\":\"ready\",\"sequence\":1}}";
			int status = server.post("/instances/" + server.instance + "/heartbeat", body);
			journal.say("check-in of another writer without an address, answered %d", status);
		}
		Server.pause(4000);
		server.state = "draining";
		int status = server.beat();
		if (status < 200 || status > 299) {
			setup.couldNotRun("the leaving was not acknowledged: " + status);
		}
		acknowledged = journal.now();
		journal.say("the server reports draining, answered %d", status);
		Server.pause(2000 + 5000);
		int lostBefore = lost.get();
		journal.say("requests that reached the server more than drain_ms after the acknowledgement: %d", late.get());
		server.deregister();
		server.close();
		journal.say("the server has exited");
		Server.pause(2000);
		running = false;
		Server.pause(500);
		journal.say("unsafe requests that ended with 502 or without an answer after the exit: %d", lost.get() - lostBefore);
		setup.finish(late.get() > 0);
	}

	private static void work(Journal journal, Node node, AtomicInteger lost) {
		Client client = null;
		while (running) {
			String id = "u" + ids.incrementAndGet();
			try {
				if (client == null) {
					client = new Client(node.entry());
				}
				sent.put(id, journal.now());
				client.send(Client.head("POST", "/a/" + id, "a.example", id, 4000, null, 4));
				client.send("abcd".getBytes());
				Http answer = client.receive(4500);
				journal.line("request=%s node=%s status=%s", id, node.name, (answer != null) ? answer.status() : "closed");
				if (answer == null || answer.status() == 502) {
					lost.incrementAndGet();
				}
				if (answer == null || "close".equalsIgnoreCase(answer.header("connection"))) {
					client.close();
					client = null;
				}
			}
			catch (IOException ex) {
				journal.line("request=%s node=%s failed=%s", id, node.name, ex);
				client = null;
			}
			Server.pause(40);
		}
	}

}
