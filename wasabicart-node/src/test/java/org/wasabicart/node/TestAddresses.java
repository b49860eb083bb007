package org.wasabicart.node;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback addresses for nodes. They have an IP address of this process and ports that
 * the system does not choose, so that no other socket can get one before the node binds
 * it.
 */
final class TestAddresses {

	private static final int HOSTS = 250;

	private static final int FIRST_PORT = 10_000;

	private static final int LOWEST_EPHEMERAL_PORT = 32_768;

	private static final AtomicInteger nextPort = new AtomicInteger(FIRST_PORT);

	private TestAddresses() {
	}

	/**
	 * Returns an address that no process listens on and that is returned only once.
	 * @return the address, as IP address and port
	 * @throws IOException if none is found
	 */
	static String findFree() throws IOException {
		long process = ProcessHandle.current().pid();
		String host = "127." + (1 + process / HOSTS / HOSTS % HOSTS) + "." + (1 + process / HOSTS % HOSTS) + "."
				+ (1 + process % HOSTS);
		for (int port = nextPort.getAndIncrement(); port < LOWEST_EPHEMERAL_PORT; port = nextPort.getAndIncrement()) {
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
				return host + ":" + socket.getLocalPort();
			}
			catch (BindException ex) {
				// A process with the same address uses the port.
				continue;
			}
		}
		throw new IOException("No free port on " + host);
	}

}
