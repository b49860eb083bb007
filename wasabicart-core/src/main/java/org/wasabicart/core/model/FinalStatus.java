package org.wasabicart.core.model;

/**
 * Statuses with which a server may answer a request. Faulty servers have sent others,
 * such as 000, which tell nothing about the outcome of the request.
 */
public final class FinalStatus {

	private static final int FIRST = 200;

	private static final int LAST = 599;

	private FinalStatus() {
	}

	/**
	 * Returns whether a status is that of a final answer.
	 * @param status status of an answer
	 * @return whether it is from 200 to 599
	 */
	public static boolean isValid(int status) {
		return status >= FIRST && status <= LAST;
	}

}
