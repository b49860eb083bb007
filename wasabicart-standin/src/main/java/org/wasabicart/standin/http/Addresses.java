package org.wasabicart.standin.http;

import java.net.InetSocketAddress;

/**
 * Parses and formats addresses of the form {@code IP:port}.
 */
public final class Addresses {

	private Addresses() {
	}

	/**
	 * Parses an address.
	 * @param text address, for example {@code 127.0.0.1:2379}
	 * @return the address
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("Address is not of the form IP:port: " + text);
		}
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	/**
	 * Formats an address.
	 * @param address resolved address
	 * @return the text, for example {@code 127.0.0.1:2379}
	 */
	public static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
