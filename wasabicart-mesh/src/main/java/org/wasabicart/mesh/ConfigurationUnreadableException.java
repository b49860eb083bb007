package org.wasabicart.mesh;

/**
 * A value of the store is no configuration.
 */
public class ConfigurationUnreadableException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what is wrong, with its place
	 */
	public ConfigurationUnreadableException(String message) {
		super(message);
	}

}
