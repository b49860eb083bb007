package org.wasabicart.core.admission;

/**
 * Measurement of one call that ran.
 *
 * @param serviceNanoseconds time that the backend server took, excluding the time that it
 * waited for nested calls
 * @param result how the call ended
 */
public record CallSample(long serviceNanoseconds, Result result) {

	/**
	 * How a call ended, as the concurrency limit distinguishes it.
	 */
	public enum Result {

		/** The backend server responded. */
		RESPONDED,

		/** The call failed or timed out in the backend server. */
		FAILED,

		/** The backend server shed the call. */
		SHED,

		/** The call ended for a reason unrelated to the backend server. */
		IGNORED

	}

}
