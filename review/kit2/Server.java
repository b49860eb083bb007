package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of an application server. It is sound: it does what PROTOCOL.md says. */
final class Server implements AutoCloseable {

	final String service;

	volatile String instance;

	volatile long born = System.currentTimeMillis();

	final ServerSocket listener;

	private final Journal journal;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private final AtomicInteger sequence = new AtomicInteger();

	/** Address of the node's control interface. */
	volatile String control;

	volatile String state = "ready";

	volatile boolean beating = true;

	volatile boolean ended;

	volatile int workMilliseconds;

	/** Work of requests whose path contains /slow. */
	volatile int slowMilliseconds = 700;

	volatile int answerBytes = 200;

	volatile int slots = 64;

	volatile Listener listenerOfRuns = (server, request) -> {
	};

	Server(Journal journal, String ip, String service, String instance, int workMilliseconds) throws IOException {
		this.journal = journal;
		this.service = service;
		this.instance = instance;
		this.workMilliseconds = workMilliseconds;
		this.listener = new ServerSocket();
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 200);
		start("server", this::accept);
	}

	static Thread start(String name, Runnable task) {
		Thread thread = new Thread(null, task, name, 128 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	void startBeating() {
		start("beats", () -> {
			while (!this.ended) {
				if (this.beating) {
					beat();
				}
				pause(1500);
			}
		});
	}

	static void pause(long milliseconds) {
		try {
			Thread.sleep(Math.max(0, milliseconds));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	int nextSequence() {
		return this.sequence.incrementAndGet();
	}

	String beatBody(int number, String reportedState) {
		return "{\"born\":" + this.born + ",\"address\":\"" + address() + "\",\"server_info\":{\"service\":\""
				+ this.service + "\",\"version\":\"v1\",\"zone\":\"z-a\",\"slots\":" + this.slots
				+ "},\"status\":{\"state\":\"" + reportedState + "\",\"sequence\":" + number
				+ ",\"cold_remaining_ms\":0}}";
	}

	/** Sends a check-in; returns the status of the answer, or 0 without one. */
	int beat() {
		return post("/instances/" + this.instance + "/heartbeat", beatBody(nextSequence(), this.state));
	}

	int deregister() {
		return post("/instances/" + this.instance + "/deregister", "{\"born\":" + this.born + "}");
	}

	int post(String path, String body) {
		int colon = this.control.lastIndexOf(':');
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.control.substring(0, colon),
					Integer.parseInt(this.control.substring(colon + 1))), 1000);
			socket.setSoTimeout(1000);
			socket.getOutputStream()
				.write(("POST " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
						+ "Content-Length: " + body.length() + "\r\nConnection: close\r\n\r\n" + body)
					.getBytes(StandardCharsets.ISO_8859_1));
			Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
			return (answer != null) ? answer.status() : 0;
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private void accept() {
		while (!this.ended) {
			try {
				Socket socket = this.listener.accept();
				this.open.add(socket);
				start("connection", () -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
			OutputStream output = socket.getOutputStream();
			for (Http request = Http.read(input); request != null; request = Http.read(input)) {
				answer(request, output);
			}
		}
		catch (IOException ex) {
			// The node has closed the connection.
		}
		finally {
			this.open.remove(socket);
		}
	}

	private void answer(Http request, OutputStream output) throws IOException {
		if (!request.startLine.endsWith(" HTTP/1.1")) {
			output.write("HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
				.getBytes(StandardCharsets.ISO_8859_1));
			throw new IOException("not a request");
		}
		String id = request.header("request-id");
		if (id == null) {
			output.write("HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
				.getBytes(StandardCharsets.ISO_8859_1));
			return;
		}
		String expected = request.header("expected-instance");
		if (expected != null && !expected.equals(this.instance)) {
			output.write(("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id + "\r\nInstance-Id: " + this.instance
					+ "\r\nContent-Length: 0\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			return;
		}
		this.journal.line("run service=%s instance=%s request=%s line=\"%s\" bytes=%d tenant=%s", this.service,
				this.instance, id, request.startLine, request.body.length, request.header("tenant"));
		this.listenerOfRuns.ran(this, request);
		pause(request.startLine.contains("/slow") ? this.slowMilliseconds : this.workMilliseconds);
		byte[] head = ("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id
				+ "\r\nContent-Length: " + this.answerBytes + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1);
		byte[] message = new byte[head.length + this.answerBytes];
		java.util.Arrays.fill(message, (byte) 'x');
		System.arraycopy(head, 0, message, 0, head.length);
		output.write(message);
		output.flush();
	}

	/** The server exits. */
	@Override
	public void close() throws IOException {
		this.ended = true;
		this.listener.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

	interface Listener {

		void ran(Server server, Http request);

	}

}
