package org.wasabicart.mesh;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds loopback addresses to listen on, for the training of the class archive and for
 * tests. A port that the system chose and released may be given to an outgoing connection
 * of any process before it is bound again, so the ports lie below those.
 */
public final class LoopbackAddresses {

	private static final int LOWEST_PORT = 15_000;

	/** Lowest port of outgoing connections, usually; others begin higher. */
	private static final int OUTGOING_PORT = 32_768;

	/** Ports that are tried: nearly all are free. */
	private static final int ATTEMPTS = 50;

	private LoopbackAddresses() {
	}

	/**
	 * Returns an address that no process listens on.
	 * @return the address
	 * @throws IOException if none is found
	 */
	public static InetSocketAddress free() throws IOException {
		for (int i = 0; i < ATTEMPTS; i++) {
			int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, OUTGOING_PORT);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
			}
			catch (BindException ex) {
				// In use; the next one is tried.
				continue;
			}
		}
		throw new IOException("No free port on the loopback interface");
	}

}
