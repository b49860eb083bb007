package org.wasabicart.mesh;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's key-value store. Futures complete on the node's event loop and
 * fail with a {@link MeshStoreException}.
 */
public interface MeshStore {

	/**
	 * Reads one key.
	 * @param key key
	 * @return the item; its value is null if the key is absent
	 */
	CompletableFuture<StoredItem> get(String key);

	/**
	 * Reads all keys with a prefix.
	 * @param prefix prefix
	 * @return the items and the position after which a watch continues
	 */
	CompletableFuture<StoredItems> list(String prefix);

	/**
	 * Waits for changes of keys with a prefix.
	 * @param prefix prefix
	 * @param after position; later changes are returned
	 * @param wait longest time to wait
	 * @return the changed items; the value of a deleted key is null
	 */
	CompletableFuture<StoredItems> watch(String prefix, StorePosition after, Duration wait);

	/**
	 * Writes or deletes a key if its last change has the expected revision.
	 * @param key key
	 * @param expected expected position of the item
	 * @param value new value, or null to delete the key
	 * @param lease lease whose end deletes the key, or {@link StoreLease#none(StoreEra)}
	 * @return the position of the change
	 */
	CompletableFuture<StorePosition> write(String key, StorePosition expected, byte[] value, StoreLease lease);

	/**
	 * Grants a lease.
	 * @param timeToLive time after which the lease ends unless it is renewed
	 * @return the lease
	 */
	CompletableFuture<StoreLease> grantLease(Duration timeToLive);

	/**
	 * Renews a lease.
	 * @param lease lease
	 * @return the era in which the store has renewed a lease with this id
	 */
	CompletableFuture<StoreEra> renewLease(StoreLease lease);

	/**
	 * Checks whether the store serves this node, with the least expensive call. The
	 * answer may come from an outdated copy and says nothing about the data.
	 * @return ends without an error if the store has answered
	 */
	CompletableFuture<Void> probe();

	/**
	 * One key with its value.
	 *
	 * @param key key
	 * @param value value, or null if the key is absent; empty if it cannot be decoded
	 * @param position position of the last change
	 */
	record StoredItem(String key, byte[] value, StorePosition position) {

	}

	/**
	 * Items as of one position.
	 *
	 * @param items items
	 * @param position position of the store
	 */
	record StoredItems(List<StoredItem> items, StorePosition position) {

		public StoredItems {
			items = List.copyOf(items);
		}

	}

}
