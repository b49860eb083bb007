package org.wasabicart.standin.caller;

/**
 * Is told of each request that has ended.
 */
@FunctionalInterface
public interface LoadListener {

	/**
	 * A request has ended.
	 * @param record what the caller saw
	 */
	void ended(CallerRecord record);

}
