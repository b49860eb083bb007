package org.wasabicart.mesh;

/**
 * Descriptions of failures for log lines. Messages of failures may contain data of other
 * writers, of any length.
 */
public final class LogReason {

	private static final int MAXIMUM_LENGTH = 200;

	private LogReason() {
	}

	/**
	 * Returns the message of a failure, shortened to the length of a log line.
	 * @param failure failure
	 * @return the message, at most 200 characters
	 */
	public static String of(Throwable failure) {
		String message = (failure.getMessage() != null) ? failure.getMessage() : failure.getClass().getSimpleName();
		return (message.length() > MAXIMUM_LENGTH) ? message.substring(0, MAXIMUM_LENGTH) : message;
	}

}
