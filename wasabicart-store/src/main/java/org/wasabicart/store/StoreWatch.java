package org.wasabicart.store;

/**
 * One open watch.
 */
@FunctionalInterface
public interface StoreWatch {

	/**
	 * Ends the watch. The listener is not invoked afterwards.
	 */
	void cancel();

}
