package org.wasabicart.review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty server sends additional bytes after some of its answers: the beginning of a
 * refusal, which breaks off at a random place. The next request on that connection is run
 * and answered in full.
 */
final class PartialAnswerCase {

	private static final String SERVICE = "orders";

	private static final String HOST = "shop.example";

	private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
			+ "Content-Length: 0\r\n\r\n";

	/** The faulty server spoils one of so many answers, which is less than 0.03 of them. */
	private static final int SPOILT_INTERVAL = 34;

	private static final int CLIENTS = 20;

	private static final int SECONDS = 9;

	/** Time after the start of traffic at which the faulty server starts to fail. */
	private static final int FAULT_START_SECONDS = 2;

	private static final int FAULT_SECONDS = 5;

	private static final int MINIMUM_REQUESTS = 1000;

	private static final int WORK_MILLISECONDS = 20;

	/** Pause of a client between two requests, in which connections to servers are idle. */
	private static final int PAUSE_MILLISECONDS = 20;

	private static final int DEADLINE_MILLISECONDS = 5000;

	private final Record record;

	private final boolean trouble;

	private final Random random = new Random(29);

	private final Map<String, List<String>> runs = new ConcurrentHashMap<>();

	private final AtomicInteger faultyAnswers = new AtomicInteger();

	private final AtomicInteger spoilt = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger refusedAfterRun = new AtomicInteger();

	private volatile long start;

	private PartialAnswerCase(Record record, boolean trouble) {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] arguments) {
		ReviewCase.run(arguments, (record, trouble) -> new PartialAnswerCase(record, trouble).play());
	}

	private int play() throws IOException, InterruptedException {
		try (Deployment deployment = new Deployment(this.record, Deployment.configuration(
				Deployment.FIRST_VERSION, SERVICE, List.of(Deployment.route(HOST, "/order/", "unsafe", 4000, SERVICE))))) {
			deployment.start(SERVICE, 140, this::handle, "jhb-a", "jhb-b");
			this.start = System.nanoTime();
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				int number = i;
				clients.add(Threads.start("client-" + i,
						() -> call(number, deployment.machine(number % 2))));
			}
			for (Thread client : clients) {
				client.join();
			}
		}
		int twice = 0;
		for (Map.Entry<String, List<String>> run : this.runs.entrySet()) {
			if (run.getValue().size() > 1) {
				twice++;
				this.record.log("TWICE: %s ran at %s", run.getKey(), run.getValue());
			}
		}
		this.record.log("requests answered: %d, answers of the faulty server in its 5 s: %d, with additional bytes: %d",
				this.answered.get(), this.faultyAnswers.get(), this.spoilt.get());
		this.record.log("unsafe requests answered 503 although they had run (REFUSED): %d, run twice (TWICE): %d",
				this.refusedAfterRun.get(), twice);
		if (this.answered.get() < MINIMUM_REQUESTS) {
			return -1;
		}
		return this.refusedAfterRun.get() + twice;
	}

	private void handle(ServerStandIn server, Socket socket, InputStream input, HttpMessage request)
			throws IOException, InterruptedException {
		input.skipNBytes(request.contentLength());
		String id = request.header("Request-Id");
		this.runs.computeIfAbsent(id, (key) -> new CopyOnWriteArrayList<>()).add(server.instance());
		this.record.log("server %s: runs %s", server.instance(), id);
		TimeUnit.MILLISECONDS.sleep(WORK_MILLISECONDS);
		String body = "order " + id + " placed";
		String extra = "";
		if (this.trouble && "i-1".equals(server.instance()) && isFaulty()
				&& this.faultyAnswers.incrementAndGet() % SPOILT_INTERVAL == 0) {
			synchronized (this.random) {
				extra = REFUSAL.substring(0, 1 + this.random.nextInt(REFUSAL.length() - 1));
			}
		}
		ServerStandIn.write(socket.getOutputStream(), server.head("200 OK", request, body.length()) + body + extra);
		if (!extra.isEmpty()) {
			this.spoilt.incrementAndGet();
			this.record.log("server %s: answered %s, then sent additional bytes: %s", server.instance(), id,
					extra.replace("\r", "\\r").replace("\n", "\\n"));
		}
	}

	private boolean isFaulty() {
		long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - this.start);
		return seconds >= FAULT_START_SECONDS && seconds < FAULT_START_SECONDS + FAULT_SECONDS;
	}

	private void call(int number, Machine machine) throws IOException, InterruptedException {
		Client client = new Client(machine.entry(), 0);
		for (int i = 0; System.nanoTime() - this.start < TimeUnit.SECONDS.toNanos(SECONDS); i++) {
			String id = String.format("c%d-%04d", number, i);
			client.send("POST", HOST, "/order/new", id, DEADLINE_MILLISECONDS, "coir".getBytes());
			Client.Answer answer = client
				.read(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLISECONDS), 0);
			this.answered.incrementAndGet();
			this.record.log("client %d: sent %s, received: %s", number, id, answer);
			if ((answer.status() == 503 || answer.status() == 429) && this.runs.containsKey(id)) {
				this.refusedAfterRun.incrementAndGet();
				this.record.log("REFUSED: %s was answered %d, and ran at %s", id, answer.status(), this.runs.get(id));
			}
			if (!answer.complete() || "close".equals(answer.head().header("Connection"))) {
				client.close();
				client = new Client(machine.entry(), 0);
			}
			TimeUnit.MILLISECONDS.sleep(PAUSE_MILLISECONDS);
		}
		client.close();
	}

}
