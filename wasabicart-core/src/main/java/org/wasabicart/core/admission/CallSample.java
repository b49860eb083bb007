package org.wasabicart.core.admission;

/**
 * What was observed of one call that ran.
 *
 * @param serviceNanoseconds time that the backend server took, without the time it spent
 * waiting for nested calls
 * @param result how the call ended
 */
public record CallSample(long serviceNanoseconds, Result result) {

	/**
	 * End of a call, as far as the limit is concerned.
	 */
	public enum Result {

		/** The backend server responded. */
		RESPONDED,

		/** The call failed or timed out in the backend server. */
		FAILED,

		/** The backend server shed the call. */
		SHED,

		/** The call ended for a reason that says nothing of the backend server. */
		IGNORED

	}

}
