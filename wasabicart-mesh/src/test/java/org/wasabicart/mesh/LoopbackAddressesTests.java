package org.wasabicart.mesh;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against tests that fail because an outgoing connection of another process uses
 * the port on which they are about to listen.
 */
class LoopbackAddressesTests {

	@Test
	void portsAreBelowTheEphemeralRange() throws IOException {
		try (ServerSocket server = new ServerSocket(0);
				Socket outgoing = new Socket("127.0.0.1", server.getLocalPort())) {
			for (int i = 0; i < 100; i++) {
				InetSocketAddress address = LoopbackAddresses.findFree();
				assertThat(address.getPort()).isLessThan(outgoing.getLocalPort());
			}
		}
	}

	@Test
	void noAddressIsReturnedTwice() throws IOException {
		Set<InetSocketAddress> addresses = new HashSet<>();
		for (int i = 0; i < 500; i++) {
			assertThat(addresses.add(LoopbackAddresses.findFree())).isTrue();
		}
	}

	/**
	 * Listens on the port that was found, as a process that uses 127.0.0.1 or all
	 * addresses of another family might.
	 */
	@Test
	void portIsFreeAlthoughAnotherProcessTakesItOnTheUsualAddress() throws IOException {
		InetSocketAddress found = LoopbackAddresses.findFree();
		try (ServerSocket other = new ServerSocket(found.getPort(), 1, InetAddress.getByName("127.0.0.1"));
				ServerSocket own = new ServerSocket(found.getPort(), 1, found.getAddress())) {
			assertThat(own.getLocalPort()).isEqualTo(other.getLocalPort());
		}
	}

}
