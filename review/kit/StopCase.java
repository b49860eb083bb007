package org.wasabicart.review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine receives SIGTERM while clients read answers, whose requests were run before,
 * at a moderate rate. All of them could finish well within the grace period.
 */
final class StopCase {

	private static final String SERVICE = "orders";

	private static final String HOST = "shop.example";

	private static final int CLIENTS = 2;

	private static final int ANSWER_BYTES = 8_000_000;

	/** The body is read in 8 s. */
	private static final int READ_BYTES_PER_SECOND = 1_000_000;

	private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

	private static final int DEADLINE_MILLISECONDS = 20_000;

	/** Checks, 0.1 s apart, for the servers' answers before the signal. */
	private static final int START_CHECKS = 10;

	private static final int GRACE_MILLISECONDS = 6000;

	private final Record record;

	private final boolean trouble;

	private final Map<String, String> runs = new ConcurrentHashMap<>();

	private final AtomicInteger complete = new AtomicInteger();

	private final AtomicInteger lost = new AtomicInteger();

	private StopCase(Record record, boolean trouble) {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] arguments) {
		ReviewCase.run(arguments, (record, trouble) -> new StopCase(record, trouble).play());
	}

	private int play() throws IOException, InterruptedException {
		try (Deployment deployment = new Deployment(this.record, Deployment.configuration(
				Deployment.FIRST_VERSION, SERVICE,
				List.of(Deployment.route(HOST, "/order/", "unsafe", DEADLINE_MILLISECONDS, SERVICE))))) {
			deployment.start(SERVICE, 140, this::handle, "jhb-a", "jhb-b");
			Machine machine = deployment.machine(0);
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				String id = "order-" + i;
				clients.add(Threads.start(id, () -> call(id, machine)));
			}
			for (int i = 0; i < START_CHECKS && this.runs.size() < CLIENTS; i++) {
				TimeUnit.MILLISECONDS.sleep(100);
			}
			this.record.log("answered by servers so far: %d", this.runs.size());
			if (this.runs.size() < CLIENTS) {
				return -1;
			}
			if (this.trouble) {
				machine.signal("TERM");
				this.record.log("SIGTERM sent to %s", machine.name());
				if (machine.waitForEnd(GRACE_MILLISECONDS)) {
					this.record.log("%s has ended", machine.name());
				}
				else {
					machine.signal("KILL");
					this.record.log("SIGKILL sent to %s", machine.name());
				}
			}
			for (Thread client : clients) {
				client.join();
			}
			deployment.recordLogs("node-stop", 10);
		}
		this.record.log("answers complete: %d, cut off (LOST): %d", this.complete.get(), this.lost.get());
		if (this.complete.get() + this.lost.get() < CLIENTS) {
			return -1;
		}
		return this.lost.get();
	}

	private void handle(ServerStandIn server, Socket socket, InputStream input, HttpMessage request)
			throws IOException {
		input.skipNBytes(request.contentLength());
		String id = request.header("Request-Id");
		ServerStandIn.write(socket.getOutputStream(), server.head("200 OK", request, ANSWER_BYTES));
		socket.getOutputStream().write(new byte[ANSWER_BYTES]);
		socket.getOutputStream().flush();
		this.runs.put(id, server.instance());
		this.record.log("server %s: has run %s and sent its whole answer", server.instance(), id);
	}

	private void call(String id, Machine machine) throws IOException, InterruptedException {
		try (Client client = new Client(machine.entry(), RECEIVE_BUFFER_BYTES)) {
			this.record.log("client: sends %s", id);
			client.send("POST", HOST, "/order/new", id, DEADLINE_MILLISECONDS, "coir".getBytes());
			Client.Answer answer = client.read(
					System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLISECONDS), READ_BYTES_PER_SECOND);
			boolean cut = !answer.complete() && !answer.failure().startsWith("not answered");
			this.record.log("%sclient: %s received: %s", cut ? "LOST: " : "", id, answer);
			if (answer.complete()) {
				this.complete.incrementAndGet();
			}
			else if (cut) {
				this.lost.incrementAndGet();
			}
		}
	}

}
