package org.wasabicart.review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients read long answers slowly, while others keep sending short requests on kept
 * connections to the same node.
 */
final class MemoryCase {

	private static final String SERVICE = "catalogue";

	private static final String HOST = "shop.example";

	private static final int SLOW_CLIENTS = 32;

	private static final int PIPELINED = 32;

	private static final int ANSWER_BYTES = 200_000;

	private static final int READ_BYTES_PER_SECOND = 250_000;

	private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

	private static final int CLIENTS = 20;

	/** Timeout of the route of the short requests, as in the sites of the pages. */
	private static final int TIMEOUT_MILLISECONDS = 1000;

	/** Time after the timeout at which an answer must have come. */
	private static final int SLACK_MILLISECONDS = 500;

	/** Requests without an answer by then that break the rule. */
	private static final int MINIMUM_LATE = 8;

	/** Their share of the requests without an answer at the timeout that breaks the rule. */
	private static final double MINIMUM_LATE_SHARE = 0.25;

	private static final int DEADLINE_MILLISECONDS = 5000;

	private static final int SLOW_DEADLINE_MILLISECONDS = 30_000;

	private static final int PAUSE_MILLISECONDS = 20;

	/** Short requests without which the case says nothing. */
	private static final int MINIMUM_REQUESTS = 500;

	private static final int SECONDS = 36;

	private final Record record;

	private final boolean trouble;

	private final Set<String> runs = ConcurrentHashMap.newKeySet();

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private final AtomicInteger unansweredAtTimeout = new AtomicInteger();

	private final AtomicInteger unansweredAfterSlack = new AtomicInteger();

	private MemoryCase(Record record, boolean trouble) {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] arguments) {
		ReviewCase.run(arguments, (record, trouble) -> new MemoryCase(record, trouble).play());
	}

	private int play() throws IOException, InterruptedException {
		try (Deployment deployment = new Deployment(this.record, Deployment.configuration(
				Deployment.FIRST_VERSION, SERVICE,
				List.of(Deployment.route(HOST, "/designs/", "safe", SLOW_DEADLINE_MILLISECONDS, SERVICE),
						Deployment.route(HOST, "/order/", "unsafe", TIMEOUT_MILLISECONDS, SERVICE))))) {
			deployment.start(SERVICE, 140, this::handle, "jhb-a", "jhb-b");
			Machine machine = deployment.machine(0);
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				int number = i;
				clients.add(Threads.start("client-" + i, () -> callOften(number, machine, end)));
			}
			TimeUnit.SECONDS.sleep(2);
			for (int i = 0; i < SLOW_CLIENTS; i++) {
				String id = "slow-" + i;
				clients.add(Threads.start(id, () -> readSlowly(id, machine)));
				TimeUnit.MILLISECONDS.sleep(250);
			}
			for (Thread client : clients) {
				client.join();
			}
			this.record.log("processes still running: %b %b", machine.isRunning(), deployment.machine(1).isRunning());
			deployment.recordLogs("WARN|ERROR|SEVERE|emory", 20);
		}
		if (this.sent.get() < MINIMUM_REQUESTS) {
			return -1;
		}
		int unanswered = this.unansweredAtTimeout.get();
		int late = this.unansweredAfterSlack.get();
		this.record.log("short requests: %d, of them without a 200: %d", this.sent.get(), this.failed.get());
		this.record.log("short requests without an answer at the timeout of their route: %d, 0.5 s later: %d", unanswered,
				late);
		return (late >= MINIMUM_LATE && late > MINIMUM_LATE_SHARE * unanswered) ? late : 0;
	}

	private void handle(ServerStandIn server, Socket socket, InputStream input, HttpMessage request)
			throws IOException, InterruptedException {
		input.skipNBytes(request.contentLength());
		String id = request.header("Request-Id");
		this.runs.add(id);
		int length = id.startsWith("slow") ? ANSWER_BYTES : 500;
		TimeUnit.MILLISECONDS.sleep(20);
		ServerStandIn.write(socket.getOutputStream(), server.head("200 OK", request, length));
		socket.getOutputStream().write(new byte[length]);
		socket.getOutputStream().flush();
	}

	private void readSlowly(String name, Machine machine) throws IOException, InterruptedException {
		try (Client client = new Client(machine.entry(), this.trouble ? RECEIVE_BUFFER_BYTES : 0)) {
			for (int i = 0; i < PIPELINED; i++) {
				client.send("GET", HOST, "/designs/all", name + "-" + i, SLOW_DEADLINE_MILLISECONDS, new byte[0]);
			}
			long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SLOW_DEADLINE_MILLISECONDS);
			for (int i = 0; i < PIPELINED; i++) {
				Client.Answer answer = client.read(end, this.trouble ? READ_BYTES_PER_SECOND : 0);
				this.record.log("client: %s-%d received: %s", name, i, answer);
				if (!answer.complete()) {
					return;
				}
			}
		}
	}

	private void callOften(int number, Machine machine, long end) throws InterruptedException {
		int request = 0;
		while (System.nanoTime() - end < 0) {
			try (Client client = new Client(machine.entry(), 0)) {
				boolean open = true;
				while (open && System.nanoTime() - end < 0) {
					open = call(client, String.format("c%d-%04d", number, request++));
					TimeUnit.MILLISECONDS.sleep(PAUSE_MILLISECONDS);
				}
			}
			catch (IOException ex) {
				this.record.log("client %d: connection failed: %s", number, ex);
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLISECONDS);
			}
		}
	}

	private boolean call(Client client, String id) throws IOException, InterruptedException {
		long start = System.nanoTime();
		client.send("POST", HOST, "/order/new", id, DEADLINE_MILLISECONDS, "coir".getBytes());
		Client.Answer answer = client.read(start + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLISECONDS), 0);
		long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
		this.record.log("client: %s, sent %d ms ago, %s, received: %s", id, elapsed,
				this.runs.contains(id) ? "which a server has run" : "which has not run", answer);
		this.sent.incrementAndGet();
		if (elapsed > TIMEOUT_MILLISECONDS) {
			this.unansweredAtTimeout.incrementAndGet();
			if (elapsed > TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS) {
				this.unansweredAfterSlack.incrementAndGet();
			}
		}
		boolean served = answer.complete() && answer.status() == 200;
		if (!served) {
			this.failed.incrementAndGet();
		}
		return answer.complete() && !"close".equals(answer.head().header("Connection"));
	}

}
