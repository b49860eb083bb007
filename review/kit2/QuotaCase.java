package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A tenant sends many times its usual. Meanwhile the process that coordinates the
 * allotments gets SIGTERM and is started again; or, with the argument herd, all processes
 * are killed and find the store down, whose leases run out, when they start again.
 */
public final class QuotaCase {

	static final int NODES = 6;

	static final int RATE = 100;

	static final double HOT = 7.5;

	private static final String KEY = "rcpihhacruddedev3nax";

	static final int GENERATORS = 4;

	static final int RETRIES = 1;

	private static final Map<String, Double> sent = new ConcurrentHashMap<>();

	private static final Map<String, Double> ran = new ConcurrentHashMap<>();

	private static final AtomicLong ids = new AtomicLong();

	public static void main(String[] arguments) throws Exception {
		Setup setup = new Setup(arguments[0]);
		Journal journal = setup.journal;
		Store store = setup.store;
		List<Node> nodes = setup.nodes;
		boolean trouble = setup.trouble;
		boolean herd = arguments.length > 1 && "herd".equals(arguments[1]);
		int nodeCount = herd ? 12 : NODES;
		int burst = herd ? 50 : 100;
		setup.configure("00000007", Setup.route("a", "safe", "svc-a", 2000), Setup.service("svc-a"),
				"{\"entry_kind\":\"tenants\",\"metadata\":{\"name\":\"ten-a\"},\"specification\":{\"keys\":[\"" + KEY
						+ "\"],\"priority\":1,\"rate_per_s\":" + RATE + ",\"burst\":" + burst + "}}");
		for (int i = 0; i < nodeCount; i++) {
			setup.add("svc-a", 20);
			setup.servers.get(i).listenerOfRuns = (runner, request) -> ran.put(request.header("request-id"), journal.now());
		}
		setup.awaitReady();
		setup.startBeating();
		Server.pause(6000);
		journal.say("entries=%d", store.count("wasabicart/members/"));
		double[] factor = { 1 };
		boolean[] running = { true };
		for (int i = 0; i < GENERATORS; i++) {
			long seed = i;
			Server.start("clients", () -> {
				Random random = new Random(seed);
				double next = journal.now();
				while (running[0]) {
					next = Math.max(next, journal.now() - 500)
							- Math.log(1 - random.nextDouble()) * 1000 * GENERATORS / (RATE / 1.6 * factor[0]);
					Server.pause((long) (next - journal.now()));
					Node node = nodes.get(random.nextInt(nodeCount));
					Server.start("client", () -> send(journal, node));
				}
			});
		}
		Server.pause(4000);
		if (trouble && herd) {
			killAllWhileTheStoreIsAway(setup);
		}
		journal.say("the tenant sends %.1f times its usual", HOT);
		factor[0] = HOT;
		Server.pause(1500);
		if (trouble && herd) {
			setup.store.down(false, true);
			journal.say("the store is back");
		}
		else if (trouble) {
			restart(setup, coordinator(setup));
		}
		Server.pause(herd ? 5000 : trouble ? 2000 : 4600);
		factor[0] = 1;
		Server.pause(4000);
		running[0] = false;
		Server.pause(500);
		double bound = (RATE * 5 + burst) * 1.1 + 20;
		int most = 0;
		double mostAt = 0;
		List<double[]> counted = new ArrayList<>();
		ran.forEach((id, time) -> counted.add(new double[] { sent.get(id), time }));
		for (double[] first : counted) {
			int count = 0;
			for (double[] other : counted) {
				if (other[0] >= first[0] && other[1] <= first[0] + 5000) {
					count++;
				}
			}
			if (count > most) {
				most = count;
				mostAt = first[0];
			}
		}
		journal.say("QUOTA most=%d in 5 s from %.0f ms, bound=%.1f sent=%d ran=%d", most, mostAt, bound, sent.size(),
				ran.size());
		if (ran.isEmpty()) {
			setup.couldNotRun("no request has run");
		}
		setup.finish(most > bound);
	}

	private static void restart(Setup setup, Node coordinator) throws Exception {
		coordinator.signal("TERM");
		setup.journal.say("SIGTERM of %s", coordinator.name);
		if (!coordinator.process.waitFor(8, TimeUnit.SECONDS)) {
			setup.couldNotRun("the process has not ended");
		}
		coordinator.start();
		setup.journal.say("%s is started again", coordinator.name);
	}

	private static void killAllWhileTheStoreIsAway(Setup setup) throws Exception {
		setup.journal.say("kill of all %d processes", setup.nodes.size());
		setup.nodes.forEach(Node::kill);
		Server.pause(990);
		setup.journal.say("the store is down (silent), leases run out");
		setup.store.down(true, true);
		for (Node node : setup.nodes) {
			node.start();
		}
		setup.journal.say("processes are started again");
		Server.pause(3000);
	}

	/** Returns the node that most nodes name in their logs as the coordinator. */
	private static Node coordinator(Setup setup) throws IOException {
		Map<String, Integer> votes = new HashMap<>();
		for (Node node : setup.nodes) {
			node.log()
				.lines()
				.filter((line) -> line.contains("event=allotment-coordinator"))
				.reduce((first, second) -> second)
				.ifPresent((line) -> votes.merge(line.replaceAll(".* node=([^ ]+) .*", "$1"), 1, Integer::sum));
		}
		setup.journal.say("coordinator by node: %s", votes);
		for (Node node : setup.nodes) {
			if (votes.getOrDefault(node.name, 0) > setup.nodes.size() / 2) {
				return node;
			}
		}
		setup.couldNotRun("the nodes follow no common coordinator");
		return null;
	}

	/** A client with a deadline of 5 s that retries as PROTOCOL.md says. */
	private static void send(Journal journal, Node node) {
		double end = journal.now() + 5000;
		for (int attempt = 0; attempt <= RETRIES; attempt++) {
			String id = "q" + ids.incrementAndGet();
			int left = (int) (end - journal.now());
			double wait = 100;
			sent.put(id, journal.now());
			try (Client client = new Client(node.entry())) {
				client.send(Client.head("GET", "/a/" + id, "a.example", id, left, KEY, 0));
				Http answer = client.receive(left + 200);
				String retry = (answer != null) ? answer.header("retry-after") : null;
				journal.line("request=%s node=%s status=%s retry=%s", id, node.name,
						(answer != null) ? answer.status() : "closed", retry);
				if (answer != null && answer.status() < 429) {
					return;
				}
				if (retry != null) {
					wait = Double.parseDouble(retry) * 1000;
				}
			}
			catch (IOException ex) {
				journal.line("request=%s node=%s failed=%s", id, node.name, ex);
			}
			if (wait > (end - journal.now()) / 3) {
				return;
			}
			Server.pause((long) wait);
		}
	}

}
