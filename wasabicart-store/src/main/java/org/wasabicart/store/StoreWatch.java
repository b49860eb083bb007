package org.wasabicart.store;

/**
 * Handle of an open watch.
 */
@FunctionalInterface
public interface StoreWatch {

	/**
	 * Ends the watch, whose listener is not invoked afterwards.
	 */
	void cancel();

}
