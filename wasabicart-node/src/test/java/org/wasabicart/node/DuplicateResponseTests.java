package org.wasabicart.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against delivering the second copy of a response to the caller whose request
 * uses the connection next.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DuplicateResponseTests {

	@Test
	void lateDuplicateResponseIsNotDeliveredToTheNextCaller() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
				RunningNode node = new RunningNode(4, (exchange) -> RunningNode.respond(exchange, 200, "unused"))) {
			Thread server = new Thread(() -> acceptAll(listener));
			server.setDaemon(true);
			server.start();
			node.announce(listener.getLocalPort());
			List<String> bodies = new ArrayList<>();
			for (int i = 0; i < 2; i++) {
				HttpResponse<String> response = node.send(HttpRequest.newBuilder(node.callerUri("/stock/" + i)));
				bodies.add(response.statusCode() + " " + response.body());
				TimeUnit.MILLISECONDS.sleep(100);
			}
			Assertions.assertThat(bodies.get(0)).isEqualTo("200 /stock/0");
			Assertions.assertThat(bodies.get(1)).isNotEqualTo("200 /stock/0");
		}
	}

	private static void acceptAll(ServerSocket listener) {
		try {
			while (true) {
				Socket connection = listener.accept();
				Thread handler = new Thread(() -> serve(connection));
				handler.setDaemon(true);
				handler.start();
			}
		}
		catch (IOException ex) {
			// The test has closed the listener.
			return;
		}
	}

	private static void serve(Socket connection) {
		try (connection;
				BufferedReader reader = new BufferedReader(
						new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII))) {
			String previous = "";
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				String path = line.split(" ")[1];
				String context = "";
				for (String header = reader.readLine(); !header.isEmpty(); header = reader.readLine()) {
					if (header.startsWith("Wasabicart-Context: ")) {
						context = header.substring("Wasabicart-Context: ".length());
					}
				}
				String response = "HTTP/1.1 200 OK\r\nWasabicart-Context: " + context + "\r\nContent-Length: "
						+ path.length() + "\r\n\r\n" + path;
				connection.getOutputStream().write((previous + response).getBytes(StandardCharsets.US_ASCII));
				previous = response;
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
