package org.wasabicart.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in of an application server. It checks in with the node on its machine, rejects
 * requests that expect another instance, and leaves the answer to a behaviour.
 */
final class ServerStandIn implements AutoCloseable {

	private static final long HEARTBEAT_MILLISECONDS = 1500;

	private final Machine machine;

	private final String service;

	private final String instance;

	private final int slots;

	private final long born = System.currentTimeMillis();

	private final Behaviour behaviour;

	private final Record record;

	private final ServerSocket listener = new ServerSocket();

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private volatile boolean closed;

	ServerStandIn(Machine machine, String service, String instance, int slots, Behaviour behaviour, Record record)
			throws IOException {
		this.machine = machine;
		this.service = service;
		this.instance = instance;
		this.slots = slots;
		this.behaviour = behaviour;
		this.record = record;
		this.listener.setReuseAddress(true);
		this.listener.bind(machine.server(), 500);
		Threads.start("accept-" + instance, this::accept);
		Threads.start("heartbeat-" + instance, this::heartbeats);
	}

	String instance() {
		return this.instance;
	}

	private void accept() throws IOException {
		while (!this.closed) {
			Socket socket = this.listener.accept();
			this.connections.add(socket);
			Threads.start("server-" + this.instance, () -> serve(socket));
		}
	}

	private void heartbeats() throws InterruptedException {
		for (long sequence = 1; !this.closed; sequence++) {
			try {
				announce(sequence);
			}
			catch (IOException ex) {
				// The node is not running; the next check-in follows.
			}
			TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLISECONDS);
		}
	}

	private void announce(long sequence) throws IOException {
		String body = String.format("{\"address\":\"%s:%d\",\"server_info\":{\"service\":\"%s\",\"version\":\"v1\","
				+ "\"zone\":\"z\",\"slots\":%d},\"status\":{\"state\":\"ready\",\"sequence\":%d,"
				+ "\"cold_remaining_ms\":0},\"born\":%d}", this.machine.server().getHostString(),
				this.machine.server().getPort(), this.service, this.slots, sequence, this.born);
		HttpURLConnection connection = (HttpURLConnection) URI
			.create("http://" + this.machine.control() + "/instances/" + this.instance + "/heartbeat")
			.toURL()
			.openConnection();
		connection.setConnectTimeout(500);
		connection.setReadTimeout(1000);
		connection.setDoOutput(true);
		connection.setRequestProperty("Content-Type", "application/json");
		connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
		connection.getResponseCode();
		connection.disconnect();
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
			for (HttpMessage request = HttpMessage.read(input); request != null; request = HttpMessage.read(input)) {
				if (!this.instance.equals(request.header("Expected-Instance"))) {
					input.skipNBytes(request.contentLength());
					write(socket.getOutputStream(), "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + this.instance
							+ "\r\nContent-Length: 0\r\n\r\n");
				}
				else {
					this.behaviour.handle(this, socket, input, request);
				}
			}
		}
		catch (IOException ex) {
			if (!this.closed) {
				this.record.log("server %s: connection ended: %s", this.instance, ex);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.connections.remove(socket);
		}
	}

	static void write(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.ISO_8859_1));
		output.flush();
	}

	/**
	 * Returns the head of a signed answer.
	 * @param status status with reason
	 * @param request request that is answered
	 * @param length length of the body, or a negative number to state none
	 * @return the head
	 */
	String head(String status, HttpMessage request, int length) {
		String id = request.header("Request-Id");
		return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\nResponse-Signature: " + signature(id) + "\r\n"
				+ ((length >= 0) ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
	}

	String signature(String requestId) {
		return this.instance + "." + requestId;
	}

	@Override
	public void close() {
		this.closed = true;
		try {
			this.listener.close();
			for (Socket connection : this.connections) {
				connection.close();
			}
		}
		catch (IOException ex) {
			this.record.log("server %s: close failed: %s", this.instance, ex);
		}
	}

	/**
	 * Answers one request.
	 */
	@FunctionalInterface
	interface Behaviour {

		/**
		 * Reads the body of a request and answers it.
		 * @param server server
		 * @param socket connection
		 * @param input bytes after the head of the request
		 * @param request head of the request
		 */
		void handle(ServerStandIn server, Socket socket, InputStream input, HttpMessage request)
				throws IOException, InterruptedException;

	}

}
