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
 * Clients on kept connections read the answers to their orders for longer than the idle
 * timeout, without a pause.
 */
final class IdleCase {

	private static final String SERVICE = "orders";

	private static final String HOST = "shop.example";

	private static final int IDLE_TIMEOUT_MILLISECONDS = 5000;

	private static final int CLIENTS = 4;

	/** Time between the clients, so that their answers reach the node one by one. */
	private static final int CLIENT_INTERVAL_MILLISECONDS = 700;

	private static final int ANSWER_BYTES = 5_000_000;

	/** The body is read in 59 s. */
	private static final int READ_BYTES_PER_SECOND = 85_000;

	private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

	private static final int DEADLINE_MILLISECONDS = 75_000;

	/** Connections that a machine may close without an answer. */
	private static final int ALLOWED = 3;

	private final Record record;

	private final boolean trouble;

	private final Set<String> runs = ConcurrentHashMap.newKeySet();

	private final AtomicInteger complete = new AtomicInteger();

	private final AtomicInteger lost = new AtomicInteger();

	private IdleCase(Record record, boolean trouble) {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] arguments) {
		ReviewCase.run(arguments, (record, trouble) -> new IdleCase(record, trouble).play());
	}

	private int play() throws IOException, InterruptedException {
		try (Deployment deployment = new Deployment(this.record,
				Deployment.configuration(SERVICE, IDLE_TIMEOUT_MILLISECONDS,
						Deployment.route(HOST, "/order/", "unsafe", DEADLINE_MILLISECONDS, SERVICE)))) {
			deployment.start(SERVICE, 140, this::handle, "jhb-a", "jhb-b");
			Machine machine = deployment.machine(0);
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				int number = i;
				clients.add(Threads.start("client-" + i, () -> call(number, machine)));
				TimeUnit.MILLISECONDS.sleep(CLIENT_INTERVAL_MILLISECONDS);
			}
			for (Thread client : clients) {
				client.join();
			}
			this.record.log("processes still running: %b %b", machine.isRunning(), deployment.machine(1).isRunning());
			deployment.recordLogs("WARN|ERROR|emory", 20);
		}
		this.record.log("long answers complete: %d, cut off by the node (LOST): %d", this.complete.get(),
				this.lost.get());
		if (this.complete.get() + this.lost.get() < CLIENTS) {
			return -1;
		}
		return (this.lost.get() > ALLOWED) ? this.lost.get() : 0;
	}

	private void handle(ServerStandIn server, Socket socket, InputStream input, HttpMessage request)
			throws IOException {
		input.skipNBytes(request.contentLength());
		String id = request.header("Request-Id");
		int length = id.startsWith("long") ? ANSWER_BYTES : 500;
		ServerStandIn.write(socket.getOutputStream(), server.head("200 OK", request, length));
		socket.getOutputStream().write(new byte[length]);
		socket.getOutputStream().flush();
		this.runs.add(id);
		this.record.log("server %s: has run %s and sent its whole answer", server.instance(), id);
	}

	private void call(int number, Machine machine) throws IOException, InterruptedException {
		try (Client client = new Client(machine.entry(), this.trouble ? RECEIVE_BUFFER_BYTES : 0)) {
			call(client, "short-" + number, 0);
			String id = "long-" + number;
			Client.Answer answer = call(client, id, this.trouble ? READ_BYTES_PER_SECOND : 0);
			if (answer.complete()) {
				this.complete.incrementAndGet();
			}
			else if (this.runs.contains(id) && answer.failure().startsWith("closed")) {
				this.lost.incrementAndGet();
				this.record.log("LOST: %s has run, and its connection was closed without a complete answer", id);
			}
		}
	}

	private Client.Answer call(Client client, String id, int bytesPerSecond) throws IOException, InterruptedException {
		this.record.log("client: sends %s", id);
		client.send("POST", HOST, "/order/new", id, DEADLINE_MILLISECONDS, "coir".getBytes());
		Client.Answer answer = client
			.read(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLISECONDS), bytesPerSecond);
		this.record.log("client: %s received: %s", id, answer);
		return answer;
	}

}
