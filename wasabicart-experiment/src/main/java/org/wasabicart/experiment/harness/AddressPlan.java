package org.wasabicart.experiment.harness;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback addresses of one deployment: each deployment has its own third octet, so that
 * deployments can run concurrently. Each node has its own IP, by which the network relay
 * identifies its failure domain.
 */
public final class AddressPlan {

	private static final int BLOCK_COUNT = 250;

	private static final int STORE_PORT = 2379;

	private static final int RELAY_CONTROL_PORT = 7500;

	private static final int LINK_PORT = 7000;

	private static final int HTTP_PORT = 8080;

	private static final int LOCAL_HTTP_PORT = 8081;

	private static final int BACKEND_PORT = 9000;

	private static final int FIRST_NODE_OCTET = 10;

	private static final int FIRST_ADVERTISED_OCTET = 130;

	private static final int MAXIMUM_NODES = 120;

	private static final AtomicInteger NEXT_BLOCK = new AtomicInteger();

	private final String block;

	private AddressPlan(String block) {
		this.block = block;
	}

	/**
	 * Finds an address block that no other deployment uses.
	 * @param prefix first two octets of the addresses, for example {@code 127.50}
	 * @return the addresses
	 * @throws IOException if all blocks are in use
	 */
	public static AddressPlan findFree(String prefix) throws IOException {
		for (int attempt = 0; attempt < BLOCK_COUNT; attempt++) {
			String block = prefix + "." + (1 + NEXT_BLOCK.getAndIncrement() % BLOCK_COUNT);
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress(block + ".1", STORE_PORT));
				return new AddressPlan(block);
			}
			catch (IOException ex) {
				continue;
			}
		}
		throw new IOException("All address blocks of " + prefix + " are in use");
	}

	/**
	 * Returns the address of the store.
	 * @return {@code IP:port}
	 */
	public String store() {
		return this.block + ".1:" + STORE_PORT;
	}

	/**
	 * Returns the address of the relay's control endpoints, which inject faults.
	 * @return {@code IP:port}
	 */
	public String relayControl() {
		return this.block + ".2:" + RELAY_CONTROL_PORT;
	}

	/**
	 * Returns the IP of a node.
	 * @param index number of the node, from 0
	 * @return the IP
	 */
	public String nodeIp(int index) {
		if (index >= MAXIMUM_NODES) {
			throw new IllegalArgumentException("More than " + MAXIMUM_NODES + " nodes in one block");
		}
		return this.block + "." + (FIRST_NODE_OCTET + index);
	}

	/**
	 * Returns the address on which a node accepts links and membership datagrams.
	 * @param index number of the node
	 * @return {@code IP:port}
	 */
	public String listen(int index) {
		return nodeIp(index) + ":" + LINK_PORT;
	}

	/**
	 * Returns the address that a node advertises to its peers, on which the relay
	 * listens.
	 * @param index number of the node
	 * @return {@code IP:port}
	 */
	public String advertised(int index) {
		// Checks that the index is in range.
		nodeIp(index);
		return this.block + "." + (FIRST_ADVERTISED_OCTET + index) + ":" + LINK_PORT;
	}

	/**
	 * Returns the address on which a node accepts requests of callers.
	 * @param index number of the node
	 * @return {@code IP:port}
	 */
	public String http(int index) {
		return nodeIp(index) + ":" + HTTP_PORT;
	}

	/**
	 * Returns the address on which a node accepts the calls of its backend server.
	 * @param index number of the node
	 * @return {@code IP:port}
	 */
	public String localHttp(int index) {
		return nodeIp(index) + ":" + LOCAL_HTTP_PORT;
	}

	/**
	 * Returns the address of the backend server of a node.
	 * @param index number of the node
	 * @return {@code IP:port}
	 */
	public String backend(int index) {
		return nodeIp(index) + ":" + BACKEND_PORT;
	}

}
