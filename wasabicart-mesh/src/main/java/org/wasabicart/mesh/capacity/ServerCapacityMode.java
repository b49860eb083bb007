package org.wasabicart.mesh.capacity;

import java.util.Locale;

/**
 * Source of the capacity of backend servers.
 */
public enum ServerCapacityMode {

	/** The slots that the servers announce. */
	ANNOUNCED,

	/** What the nodes learn from the calls of the servers. */
	LEARNED;

	/**
	 * Returns the mode of a name.
	 * @param text name in lower case
	 * @return the mode
	 */
	public static ServerCapacityMode parse(String text) {
		for (ServerCapacityMode mode : values()) {
			if (mode.name().toLowerCase(Locale.ROOT).equals(text)) {
				return mode;
			}
		}
		throw new IllegalArgumentException("is neither announced nor learned: " + text);
	}

}
