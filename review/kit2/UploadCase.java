package review2;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Some clients send bodies of legal size while others send two requests in a row. */
public final class UploadCase {

	private static final AtomicLong ids = new AtomicLong();

	private static volatile boolean running = true;

	private static final Set<String> ran = ConcurrentHashMap.newKeySet();

	private static final Map<String, AtomicInteger> uploads = new ConcurrentHashMap<>();

	private static final AtomicInteger answered = new AtomicInteger();

	private static final AtomicInteger lostConnections = new AtomicInteger();

	public static void main(String[] arguments) throws Exception {
		int bytes = Integer.getInteger("bytes", 8_000_000);
		int uploaders = Integer.getInteger("clients", 8);
		Setup setup = new Setup(arguments[0]);
		Journal journal = setup.journal;
		setup.configure("00000007", Setup.route("a", "safe", "svc-a", 4000), Setup.route("u", "unsafe", "svc-b", 8000),
				Setup.service("svc-a"), Setup.service("svc-b"));
		Node entry = setup.add("svc-a", 30);
		setup.add("svc-b", 400);
		setup.servers.get(0).answerBytes = 8000;
		setup.servers.forEach((server) -> server.listenerOfRuns = (runner, request) -> ran.add(request.header("request-id")));
		setup.awaitReady();
		setup.startBeating();
		Server.pause(5000);
		for (int i = 0; i < 12; i++) {
			Server.start("reader", () -> read(journal, entry));
		}
		Server.pause(5000);
		journal.say("before: answered=%d lost connections=%d", answered.get(), lostConnections.get());
		if (setup.trouble) {
			journal.say("%d clients send bodies of %d bytes", uploaders, bytes);
			for (int i = 0; i < uploaders; i++) {
				Server.start("uploader", () -> upload(journal, entry, bytes));
			}
		}
		Server.pause(12000);
		running = false;
		Server.pause(1500);
		if (answered.get() == 0) {
			setup.couldNotRun("no request was answered");
		}
		for (Node node : setup.nodes) {
			if (!node.process.isAlive()) {
				journal.say("node has ended: %s", node.name);
			}
		}
		journal.say("uploads: %s", uploads);
		journal.say("answered=%d; connections closed without an answer to a request that was passed on: %d", answered.get(),
				lostConnections.get());
		setup.finish(lostConnections.get() > 3);
	}

	private static void read(Journal journal, Node node) {
		Client client = null;
		while (running) {
			String slow = "p" + ids.incrementAndGet();
			String fast = "p" + ids.incrementAndGet();
			int received = 0;
			try {
				if (client == null) {
					client = new Client(node.entry());
				}
				client.send(Client.head("GET", "/a/slow/" + slow, "a.example", slow, 4000, null, 0));
				client.send(Client.head("GET", "/a/" + fast, "a.example", fast, 4000, null, 0));
				for (int i = 0; i < 2; i++) {
					Http answer = client.receive(4500);
					if (answer == null) {
						throw new IOException("closed by the node");
					}
					received++;
					answered.incrementAndGet();
					journal.line("request=%s status=%d", (i == 0) ? slow : fast, answer.status());
				}
			}
			catch (IOException ex) {
				journal.line("requests=%s,%s answers=%d failed=%s", slow, fast, received, ex);
				if (received == 0 && ran.contains(slow) || received < 2 && ran.contains(fast)) {
					lostConnections.incrementAndGet();
				}
				client = null;
			}
		}
	}

	private static void upload(Journal journal, Node node, int bytes) {
		byte[] body = new byte[bytes];
		while (running) {
			String id = "u" + ids.incrementAndGet();
			String outcome;
			try (Client client = new Client(node.entry())) {
				client.send(Client.head("POST", "/u/" + id, "u.example", id, 8000, null, bytes));
				client.send(body);
				Http answer = client.receive(9000);
				outcome = (answer != null) ? "" + answer.status() : "closed";
			}
			catch (IOException ex) {
				outcome = ex.getMessage();
			}
			journal.line("request=%s status=%s", id, outcome);
			uploads.computeIfAbsent(String.valueOf(outcome), (key) -> new AtomicInteger()).incrementAndGet();
			Server.pause(50);
		}
	}

}
