package org.wasabicart.mesh;

/**
 * Signals that a value in the store is not a valid configuration.
 */
public class ConfigurationUnreadableException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message description of the error and its position
	 */
	public ConfigurationUnreadableException(String message) {
		super(message);
	}

}
