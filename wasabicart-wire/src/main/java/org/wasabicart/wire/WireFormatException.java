package org.wasabicart.wire;

/**
 * Thrown when a message from a peer cannot be mapped to the model types.
 */
public final class WireFormatException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message description of the problem
	 * @param cause cause, or {@code null}
	 */
	public WireFormatException(String message, Throwable cause) {
		super(message, cause);
	}

}
