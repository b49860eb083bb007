package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client. */
final class Client implements AutoCloseable {

	final Socket socket = new Socket();

	final BufferedInputStream input;

	Client(String address) throws IOException {
		int colon = address.lastIndexOf(':');
		this.socket.setTcpNoDelay(true);
		this.socket.connect(
				new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1000);
		this.input = new BufferedInputStream(this.socket.getInputStream());
	}

	static byte[] head(String method, String path, String host, String id, int deadline, String key, int length) {
		return (method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
				+ "\r\nDeadline-Milliseconds: " + deadline + "\r\n"
				+ ((key != null) ? "Authorization: Token " + key + "\r\n" : "")
				+ ((length > 0 || "POST".equals(method)) ? "Content-Length: " + length + "\r\n" : "") + "\r\n")
			.getBytes(StandardCharsets.ISO_8859_1);
	}

	void send(byte[] bytes) throws IOException {
		this.socket.getOutputStream().write(bytes);
		this.socket.getOutputStream().flush();
	}

	Http receive(int timeoutMilliseconds) throws IOException {
		this.socket.setSoTimeout(timeoutMilliseconds);
		return Http.read(this.input);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
