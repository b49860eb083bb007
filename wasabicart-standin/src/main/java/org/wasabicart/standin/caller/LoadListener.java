package org.wasabicart.standin.caller;

/**
 * Receives the result of each request of a load.
 */
@FunctionalInterface
public interface LoadListener {

	/**
	 * Called when a request has ended, on any thread.
	 * @param record result of the request
	 */
	void requestEnded(CallerRecord record);

}
