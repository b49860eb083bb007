package org.wasabicart.mesh;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds loopback addresses to listen on, for the training run of the class archive and
 * for tests. Each process uses an IP address of its own in 127.0.0.0/8, derived from its
 * process id, and each port once, so that no other process and no outgoing connection can
 * take an address after it was found.
 */
public final class LoopbackAddresses {

	private static final int LOWEST_PORT = 15_000;

	/** Start of the ephemeral port range on Linux; other systems start higher. */
	private static final int LOWEST_EPHEMERAL_PORT = 32_768;

	/** Process ids on Linux have at most 22 bits. */
	private static final int PROCESS_ID_MASK = (1 << 22) - 1;

	/** First IP address for processes, above those that tests and examples name. */
	private static final int FIRST_ADDRESS = (127 << 24) | (64 << 16);

	private static final AtomicInteger nextPort = new AtomicInteger(LOWEST_PORT);

	private LoopbackAddresses() {
	}

	/**
	 * Returns an address that no process listens on.
	 * @return the address
	 * @throws IOException if none is found
	 */
	public static InetSocketAddress findFree() throws IOException {
		InetAddress host = processAddress();
		while (true) {
			int port = nextPort.getAndIncrement();
			if (port >= LOWEST_EPHEMERAL_PORT) {
				throw new IOException("No free port on " + host);
			}
			try (ServerSocket socket = new ServerSocket(port, 1, host)) {
				return new InetSocketAddress(host, socket.getLocalPort());
			}
			catch (BindException ex) {
				// A process that had the same id still uses the port.
				continue;
			}
		}
	}

	/**
	 * Returns the IP address of the addresses that this process finds.
	 * @return the IP address
	 */
	public static InetAddress processAddress() {
		int address = FIRST_ADDRESS | (int) (ProcessHandle.current().pid() & PROCESS_ID_MASK);
		try {
			return InetAddress.getByAddress(ByteBuffer.allocate(Integer.BYTES).putInt(address).array());
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("Four bytes are an IP address", ex);
		}
	}

}
