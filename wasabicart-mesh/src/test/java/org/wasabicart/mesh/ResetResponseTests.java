package org.wasabicart.mesh;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against delivering a response without a length as complete after its connection
 * was reset while the request was still being sent.
 */
@Timeout(30)
class ResetResponseTests {

	private static final int REQUEST_BYTES = 7_000_000;

	private static final int BODY_BYTES = 3000;

	private static final int CUT_BODY_BYTES = 1000;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private String outcome(boolean reset) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			CompletableFuture<String> outcome = new CompletableFuture<>();
			BackendPool pool = new BackendPool(this.group.next(), (InetSocketAddress) listener.getLocalSocketAddress(),
					"Id", new HeldMemory(Long.MAX_VALUE, Runnable::run));
			this.group.next()
				.execute(() -> pool.acquire(false, "a", new SendingListener(new byte[REQUEST_BYTES], outcome)));
			try (Socket socket = listener.accept()) {
				InputStream input = socket.getInputStream();
				input.readNBytes(100);
				OutputStream output = socket.getOutputStream();
				output.write("HTTP/1.1 200 OK\r\nId: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
				output.write(new byte[reset ? CUT_BODY_BYTES : BODY_BYTES]);
				// The node has read the response before the connection ends.
				TimeUnit.MILLISECONDS.sleep(200);
				if (reset) {
					socket.setSoLinger(true, 0);
				}
				else {
					input.readNBytes(REQUEST_BYTES - 100);
				}
			}
			return outcome.get(10, TimeUnit.SECONDS);
		}
	}

	@Test
	void responseWithoutLengthThatIsResetDuringTheRequestFails() throws Exception {
		for (int i = 0; i < 5; i++) {
			assertThat(outcome(true)).isEqualTo("connection-reset");
		}
	}

	@Test
	void earlyResponseWithoutLengthIsDelivered() throws Exception {
		assertThat(outcome(false)).isEqualTo("200 with " + BODY_BYTES + " bytes");
	}

	private record SendingListener(byte[] request,
			CompletableFuture<String> outcome) implements BackendPool.Listener, BackendConnection.Exchange.Listener {

		@Override
		public void connected(BackendConnection connection) {
			connection.send(Unpooled.wrappedBuffer(this.request), HttpMethod.POST, "a", this);
		}

		@Override
		public void failed(Throwable cause) {
			this.outcome.completeExceptionally(new IOException(cause));
		}

		@Override
		public void answered(BackendResponse response) {
			this.outcome.complete(response.head().status().code() + " with " + response.body().length + " bytes");
		}

		@Override
		public void failed(String reason) {
			this.outcome.complete(reason);
		}

	}

}
