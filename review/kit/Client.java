package org.wasabicart.review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Client with one kept connection, which reads answers at a limited rate.
 */
final class Client implements AutoCloseable {

	private static final int READ_BYTES = 16 * 1024;

	private final Socket socket = new Socket();

	private final InputStream input;

	private final OutputStream output;

	/**
	 * Connects.
	 * @param address address of the node
	 * @param receiveBuffer size of the receive buffer in bytes, or 0 for the default
	 */
	Client(InetSocketAddress address, int receiveBuffer) throws IOException {
		if (receiveBuffer > 0) {
			this.socket.setReceiveBufferSize(receiveBuffer);
		}
		this.socket.setTcpNoDelay(true);
		this.socket.connect(address, 1000);
		this.input = new BufferedInputStream(this.socket.getInputStream(), READ_BYTES);
		this.output = this.socket.getOutputStream();
	}

	/**
	 * Sends a request with a body.
	 * @param method method
	 * @param host host
	 * @param path path
	 * @param id id of the request
	 * @param deadline {@code Deadline-Milliseconds}
	 * @param body body
	 */
	void send(String method, String host, String path, String id, int deadline, byte[] body) throws IOException {
		String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
				+ "\r\nDeadline-Milliseconds: " + deadline + "\r\n"
				+ ("POST".equals(method) ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
		this.output.write(head.getBytes(StandardCharsets.ISO_8859_1));
		this.output.write(body);
		this.output.flush();
	}

	/**
	 * Sends a request whose body follows at a limited rate.
	 * @param method method
	 * @param host host
	 * @param path path
	 * @param id id of the request
	 * @param deadline {@code Deadline-Milliseconds}
	 * @param body body
	 * @param bytesPerSecond rate at which the body is sent, or 0 for no limit
	 */
	void sendSlowly(String method, String host, String path, String id, int deadline, byte[] body, long bytesPerSecond)
			throws IOException, InterruptedException {
		this.output.write((method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
				+ "\r\nDeadline-Milliseconds: " + deadline + "\r\nContent-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		long start = System.nanoTime();
		for (int sent = 0; sent < body.length;) {
			int count = Math.min(READ_BYTES, body.length - sent);
			this.output.write(body, sent, count);
			sent += count;
			if (bytesPerSecond > 0) {
				long due = start + sent * TimeUnit.SECONDS.toNanos(1) / bytesPerSecond;
				TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
			}
		}
	}

	/**
	 * Reads an answer.
	 * @param end time in nanoseconds at which the client gives up
	 * @param bytesPerSecond rate at which the body is read, or 0 for no limit
	 * @return the answer
	 */
	Answer read(long end, long bytesPerSecond) throws IOException, InterruptedException {
		HttpMessage head = null;
		int received = 0;
		try {
			limitWait(end);
			head = HttpMessage.read(this.input);
			if (head == null) {
				return new Answer(null, 0, "closed without an answer");
			}
			long start = System.nanoTime();
			byte[] part = new byte[READ_BYTES];
			while (received < head.contentLength()) {
				limitWait(end);
				int count = this.input.read(part, 0, Math.min(part.length, head.contentLength() - received));
				if (count < 0) {
					return new Answer(head, received, "closed within the body");
				}
				received += count;
				if (bytesPerSecond > 0) {
					long due = start + received * TimeUnit.SECONDS.toNanos(1) / bytesPerSecond;
					TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
				}
			}
			return new Answer(head, received, null);
		}
		catch (SocketTimeoutException ex) {
			return new Answer(head, received, "not answered in time");
		}
		catch (EOFException ex) {
			return new Answer(head, received, "closed within the head");
		}
		catch (IOException ex) {
			return new Answer(head, received, "reset: " + ex.getMessage());
		}
	}

	private void limitWait(long end) throws IOException {
		long remaining = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
		if (remaining < 1) {
			throw new SocketTimeoutException();
		}
		this.socket.setSoTimeout((int) remaining);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	/**
	 * What a client has received for one request.
	 *
	 * @param head head, or null
	 * @param received bytes of the body
	 * @param failure reason why the answer is not complete, or null
	 */
	record Answer(HttpMessage head, int received, String failure) {

		boolean complete() {
			return this.failure == null;
		}

		int status() {
			return (this.head != null) ? this.head.status() : 0;
		}

		@Override
		public String toString() {
			return ((this.head != null) ? this.head.start() + ", " + this.received + " of "
					+ this.head.contentLength() + " bytes" : "nothing")
					+ ((this.failure != null) ? ", " + this.failure : "");
		}

	}

}
