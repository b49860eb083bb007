package org.wasabicart.review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server answers requests before it has read their long bodies, with answers that state
 * no length, and resets the connection in the middle of some of these answers.
 */
final class ResetAnswerCase {

	private static final String SERVICE = "orders";

	private static final String HOST = "shop.example";

	private static final int REQUESTS = 10;

	/** The faulty server loses one of three answers. */
	private static final int RESET_INTERVAL = 3;

	/** More than the socket buffers hold; well below the limit of 64 MiB. */
	private static final int REQUEST_BYTES = 7_000_000;

	private static final int ANSWER_BYTES = 3000;

	/** Bytes of the answer that the server sends before a reset. */
	private static final int PART_BYTES = 1000;

	private static final int DEADLINE_MILLISECONDS = 5000;

	private final Record record;

	private final boolean trouble;

	private final AtomicInteger runs = new AtomicInteger();

	private final AtomicInteger resets = new AtomicInteger();

	private ResetAnswerCase(Record record, boolean trouble) {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] arguments) {
		ReviewCase.run(arguments, (record, trouble) -> new ResetAnswerCase(record, trouble).play());
	}

	private int play() throws IOException, InterruptedException {
		int mixed = 0;
		int answered = 0;
		try (Deployment deployment = new Deployment(this.record, Deployment.configuration(
				Deployment.FIRST_VERSION, SERVICE,
				List.of(Deployment.route(HOST, "/order/", "unsafe", DEADLINE_MILLISECONDS, SERVICE))))) {
			deployment.start(SERVICE, 140, this::handle, "jhb-a", "jhb-b");
			for (int i = 0; i < REQUESTS; i++) {
				String id = "order-" + i;
				try (Client client = new Client(deployment.machine(0).entry(), 0)) {
					this.record.log("client: sends %s with a body of %d bytes", id, REQUEST_BYTES);
					client.send("POST", HOST, "/order/new", id, DEADLINE_MILLISECONDS, new byte[REQUEST_BYTES]);
					Client.Answer answer = client
						.read(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLISECONDS), 0);
					answered += (answer.complete()) ? 1 : 0;
					boolean success = answer.complete() && answer.status() == 200;
					boolean violation = success && answer.received() != ANSWER_BYTES;
					mixed += violation ? 1 : 0;
					this.record.log("%sclient: %s received: %s, signature %s", violation ? "MIXED: " : "", id, answer,
							(answer.head() != null) ? answer.head().header("Response-Signature") : "none");
				}
			}
			deployment.recordLogs("request-failed|request-refused", 10);
		}
		this.record.log("answers of servers cut by a reset: %d, delivered as complete (MIXED): %d", this.resets.get(),
				mixed);
		return (answered < REQUESTS) ? -1 : mixed;
	}

	private void handle(ServerStandIn server, Socket socket, InputStream input, HttpMessage request)
			throws IOException, InterruptedException {
		String id = request.header("Request-Id");
		ServerStandIn.write(socket.getOutputStream(), server.head("200 OK", request, -1));
		socket.getOutputStream().write(new byte[PART_BYTES]);
		socket.getOutputStream().flush();
		this.record.log("server %s: runs %s, has sent %d of %d bytes of the answer", server.instance(), id, PART_BYTES,
				ANSWER_BYTES);
		TimeUnit.MILLISECONDS.sleep(300);
		if (this.trouble && "i-1".equals(server.instance()) && this.runs.incrementAndGet() % RESET_INTERVAL == 0) {
			this.resets.incrementAndGet();
			socket.setSoLinger(true, 0);
			socket.close();
			this.record.log("server %s: has reset the connection of %s", server.instance(), id);
			return;
		}
		socket.getOutputStream().write(new byte[ANSWER_BYTES - PART_BYTES]);
		socket.getOutputStream().flush();
		input.skipNBytes(request.contentLength());
		this.record.log("server %s: has sent the whole answer to %s", server.instance(), id);
		socket.close();
	}

}
