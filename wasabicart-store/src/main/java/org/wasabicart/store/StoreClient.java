package org.wasabicart.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wasabicart.core.model.Revision;

/**
 * Client of the platform's key-value store. Safe for use by several threads. Futures fail
 * with a {@link StoreException}; after a failed write it is unknown whether the write
 * took effect.
 */
public interface StoreClient extends AutoCloseable {

	/**
	 * Reads one key.
	 * @param key key
	 * @return the value, or empty if the key is absent
	 */
	CompletableFuture<Optional<StoredValue>> get(String key);

	/**
	 * Reads all keys with a prefix.
	 * @param prefix prefix
	 * @return the values in the order of their keys
	 */
	CompletableFuture<List<StoredValue>> list(String prefix);

	/**
	 * Writes a key if its modification revision is as expected.
	 * @param key key
	 * @param expected expected modification revision; zero stands for an absent key
	 * @param value new value
	 * @param lease lease with which the key ends, if any
	 * @return whether the value was written
	 */
	CompletableFuture<SwapResult> compareAndSwap(String key, Revision expected, byte[] value, Optional<LeaseId> lease);

	/**
	 * Grants a lease.
	 * @param timeToLive time after which the lease ends unless it is kept alive; whole
	 * seconds
	 * @return the lease
	 */
	CompletableFuture<LeaseId> grantLease(Duration timeToLive);

	/**
	 * Keeps a lease alive.
	 * @param lease lease
	 * @return the new time to live, or zero if the lease has ended
	 */
	CompletableFuture<Duration> keepAlive(LeaseId lease);

	/**
	 * Ends a lease and deletes its keys.
	 * @param lease lease
	 * @return completes when the store has done it
	 */
	CompletableFuture<Void> revoke(LeaseId lease);

	/**
	 * Watches one key.
	 * @param key key
	 * @param after changes with a higher modification revision are reported
	 * @param listener receives the changes
	 * @return handle to end the watch
	 */
	StoreWatch watch(String key, Revision after, StoreWatchListener listener);

	@Override
	void close();

}
