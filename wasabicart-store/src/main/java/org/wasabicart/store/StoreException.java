package org.wasabicart.store;

/**
 * The store did not respond, or responded with an error.
 */
public final class StoreException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what was attempted and what happened
	 * @param cause cause, or {@code null}
	 */
	public StoreException(String message, Throwable cause) {
		super(message, cause);
	}

}
