package org.wasabicart.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wasabicart.core.model.Revision;

/**
 * Client of the platform's key-value store. Implementations are thread-safe. Futures fail
 * with a {@link StoreException}; after a failed write it is unknown whether the write
 * took effect.
 */
public interface StoreClient extends AutoCloseable {

	/**
	 * Reads the value of a key.
	 * @param key key
	 * @return the value, or empty if the key is absent
	 */
	CompletableFuture<Optional<StoredValue>> get(String key);

	/**
	 * Reads the values of all keys with a prefix.
	 * @param prefix prefix, not empty
	 * @return the values in the order of their keys
	 */
	CompletableFuture<List<StoredValue>> list(String prefix);

	/**
	 * Writes a key if its modification revision is as expected.
	 * @param key key
	 * @param expected expected modification revision, or zero if the key is expected to
	 * be absent
	 * @param value new value
	 * @param lease lease whose end deletes the key, if any
	 * @return whether the value was written, with the current value if it was not
	 */
	CompletableFuture<SwapResult> compareAndSwap(String key, Revision expected, byte[] value, Optional<LeaseId> lease);

	/**
	 * Grants a lease.
	 * @param timeToLive time in whole seconds after which the lease ends unless it is
	 * kept alive
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
	 * Revokes a lease and deletes its keys.
	 * @param lease lease
	 * @return future that completes when the lease is revoked
	 */
	CompletableFuture<Void> revoke(LeaseId lease);

	/**
	 * Watches a key. Deletions are not reported.
	 * @param key key
	 * @param after revision after which changes are reported
	 * @param listener receives the changes
	 * @return handle that ends the watch
	 */
	StoreWatch watch(String key, Revision after, StoreWatchListener listener);

	@Override
	void close();

}
