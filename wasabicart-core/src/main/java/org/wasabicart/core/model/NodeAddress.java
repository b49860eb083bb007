package org.wasabicart.core.model;

import java.util.regex.Pattern;

/**
 * Advertised address of a node, used for links over TCP and for membership over UDP.
 *
 * @param host IP address
 * @param port port, 1 to 65535
 */
public record NodeAddress(String host, int port) {

	private static final int MAXIMUM_PORT = 65535;

	private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

	private static final Pattern IPV4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

	/** Text that is never looked up as a name, since a name contains no colon. */
	private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*(%[A-Za-z0-9]+)?");

	private static final int MAXIMUM_HOST_LENGTH = 64;

	public NodeAddress {
		if (host == null || host.isEmpty()) {
			throw new IllegalArgumentException("Host is empty");
		}
		// Resolving a name would block the thread that connects to it.
		if (host.length() > MAXIMUM_HOST_LENGTH || !(IPV4.matcher(host).matches() || IPV6.matcher(host).matches())) {
			throw new IllegalArgumentException("Host is not an IP address");
		}
		if (port < 1 || port > MAXIMUM_PORT) {
			throw new IllegalArgumentException("Port is out of range: " + port);
		}
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
