package org.wasabicart.node.settings;

/**
 * Format of log lines.
 */
public enum LogFormat {

	/** {@code key=value} pairs. */
	KEY_VALUE,

	/** One JSON object per line. */
	JSON

}
