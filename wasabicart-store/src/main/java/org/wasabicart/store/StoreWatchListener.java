package org.wasabicart.store;

/**
 * Receives the changes of a watched key.
 */
public interface StoreWatchListener {

	/**
	 * Invoked when the key was written.
	 * @param value new value
	 */
	void changed(StoredValue value);

	/**
	 * Invoked when the watch has failed or the store has closed it. The client does not
	 * reopen it; the caller of {@link StoreClient#watch} opens a new one after a backoff.
	 * @param cause why the watch ended
	 */
	void ended(Throwable cause);

}
