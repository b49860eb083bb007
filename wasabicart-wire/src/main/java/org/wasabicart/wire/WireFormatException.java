package org.wasabicart.wire;

/**
 * A message from a peer cannot be mapped to the types of the project.
 */
public final class WireFormatException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what is wrong with the message
	 * @param cause cause, or {@code null}
	 */
	public WireFormatException(String message, Throwable cause) {
		super(message, cause);
	}

}
