package org.wasabicart.store;

/**
 * Receives the changes of one watched key.
 */
public interface StoreWatchListener {

	/**
	 * The key was written.
	 * @param value new value
	 */
	void changed(StoredValue value);

	/**
	 * The watch has ended, and the caller opens a new one after a backoff.
	 * @param cause cause
	 */
	void ended(Throwable cause);

}
