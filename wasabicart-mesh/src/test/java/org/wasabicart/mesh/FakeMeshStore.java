package org.wasabicart.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * In-memory store with faults that a test enables, which can return from an older copy of
 * its data. Several nodes may use it.
 */
final class FakeMeshStore implements MeshStore {

	final TreeMap<String, StoredItem> items = new TreeMap<>();

	final List<String> calls = new ArrayList<>();

	final List<CompletableFuture<StoredItems>> watches = new ArrayList<>();

	private final List<Waiter> waiters = new ArrayList<>();

	private final List<StoredItem> history = new ArrayList<>();

	private final Set<Long> leases = new HashSet<>();

	boolean unavailable;

	boolean loseNextWriteResponse;

	boolean failNextWriteForEndedLease;

	boolean delayNextGet;

	private CompletableFuture<StoredItem> delayedGet;

	private StoredItem delayedItem;

	private StoreEra era = new StoreEra(1);

	private long revision = 10;

	private long nextLease = 100;

	private <T> CompletableFuture<T> respond(String call, T value) {
		this.calls.add(call);
		return this.unavailable ? CompletableFuture.failedFuture(unknown()) : CompletableFuture.completedFuture(value);
	}

	private static MeshStoreException unknown() {
		return new MeshStoreException(MeshStoreException.Kind.UNKNOWN, "no response");
	}

	/**
	 * Returns a copy of the data, which later changes do not affect.
	 * @return the copy
	 */
	synchronized Copy copy() {
		return new Copy(new TreeMap<>(this.items), List.copyOf(this.history), Set.copyOf(this.leases), this.revision,
				this.nextLease);
	}

	/**
	 * Returns from an older copy. Connections with waiting watch calls break.
	 * @param copy copy
	 */
	synchronized void restore(Copy copy) {
		restoreWithoutBreakingConnections(copy);
		breakWatches();
	}

	synchronized void restoreWithoutBreakingConnections(Copy copy) {
		this.era = new StoreEra(this.era.number() + 1);
		this.items.clear();
		copy.items.forEach((key, item) -> this.items.put(key, inCurrentEra(item)));
		this.history.clear();
		copy.history.forEach((item) -> this.history.add(inCurrentEra(item)));
		this.leases.clear();
		this.leases.addAll(copy.leases);
		this.revision = copy.revision;
		this.nextLease = copy.nextLease;
	}

	synchronized void breakWatches() {
		List<Waiter> broken = List.copyOf(this.waiters);
		this.waiters.clear();
		broken.forEach((waiter) -> waiter.result.completeExceptionally(unknown()));
	}

	private StoredItem inCurrentEra(StoredItem item) {
		return new StoredItem(item.key(), item.value(), new StorePosition(this.era, item.position().revision()));
	}

	/**
	 * Changes an item without a condition, as operators do.
	 * @param key key
	 * @param value new value, or null to delete the key
	 * @return position of the change
	 */
	synchronized StorePosition put(String key, byte[] value) {
		this.revision++;
		StoredItem item = new StoredItem(key, value, new StorePosition(this.era, this.revision));
		if (value != null) {
			this.items.put(key, item);
		}
		else {
			this.items.remove(key);
		}
		this.history.add(item);
		completeWatches();
		return item.position();
	}

	private void completeWatches() {
		for (Waiter waiter : List.copyOf(this.waiters)) {
			StoredItems changes = changes(waiter.prefix, waiter.after);
			if (!changes.items().isEmpty()) {
				this.waiters.remove(waiter);
				waiter.result.complete(changes);
			}
		}
	}

	private StoredItems changes(String prefix, long after) {
		return new StoredItems(this.history.stream()
			.filter((item) -> item.key().startsWith(prefix) && item.position().revision() > after)
			.toList(), new StorePosition(this.era, this.revision));
	}

	@Override
	public synchronized CompletableFuture<StoredItem> get(String key) {
		StoredItem item = this.items.getOrDefault(key, new StoredItem(key, null, new StorePosition(this.era, 0)));
		if (this.delayNextGet) {
			this.delayNextGet = false;
			this.delayedItem = item;
			this.delayedGet = new CompletableFuture<>();
			return this.delayedGet;
		}
		return respond("get", item);
	}

	void completeDelayedGet() {
		this.delayedGet.complete(this.delayedItem);
	}

	@Override
	public synchronized CompletableFuture<StoredItems> list(String prefix) {
		return respond("list",
				new StoredItems(this.items.values().stream().filter((item) -> item.key().startsWith(prefix)).toList(),
						new StorePosition(this.era, this.revision)));
	}

	@Override
	public synchronized CompletableFuture<StoredItems> watch(String prefix, StorePosition after, Duration wait) {
		this.calls.add("watch " + after.revision());
		CompletableFuture<StoredItems> result = new CompletableFuture<>();
		this.watches.add(result);
		if (this.unavailable) {
			result.completeExceptionally(unknown());
			return result;
		}
		if (after.revision() > this.revision) {
			result
				.completeExceptionally(new MeshStoreException(MeshStoreException.Kind.HISTORY_LOST, "history is lost"));
			return result;
		}
		StoredItems changes = changes(prefix, after.revision());
		if (!changes.items().isEmpty() || wait.isZero()) {
			result.complete(changes);
		}
		else {
			this.waiters.add(new Waiter(prefix, after.revision(), result));
		}
		return result;
	}

	@Override
	public synchronized CompletableFuture<StorePosition> write(String key, StorePosition expected, byte[] value,
			StoreLease lease) {
		this.calls.add("write");
		if (this.unavailable) {
			return CompletableFuture.failedFuture(unknown());
		}
		if (this.failNextWriteForEndedLease || lease.id() != 0 && !this.leases.contains(lease.id())) {
			this.failNextWriteForEndedLease = false;
			return CompletableFuture
				.failedFuture(new MeshStoreException(MeshStoreException.Kind.LEASE_ENDED, "lease " + lease));
		}
		StoredItem current = this.items.get(key);
		if (expected.revision() != ((current != null) ? current.position().revision() : 0)) {
			return CompletableFuture.failedFuture(new MeshStoreException(MeshStoreException.Kind.CONFLICT, key));
		}
		StorePosition written = put(key, value);
		if (this.loseNextWriteResponse) {
			this.loseNextWriteResponse = false;
			return CompletableFuture.failedFuture(unknown());
		}
		return CompletableFuture.completedFuture(written);
	}

	@Override
	public synchronized CompletableFuture<StoreLease> grantLease(Duration timeToLive) {
		if (!this.unavailable) {
			this.leases.add(this.nextLease);
		}
		return respond("lease", new StoreLease(this.era, this.nextLease++));
	}

	@Override
	public synchronized CompletableFuture<StoreEra> renewLease(StoreLease lease) {
		if (!this.unavailable && !this.leases.contains(lease.id())) {
			this.calls.add("renew");
			return CompletableFuture
				.failedFuture(new MeshStoreException(MeshStoreException.Kind.LEASE_ENDED, "lease " + lease));
		}
		return respond("renew", this.era);
	}

	@Override
	public synchronized CompletableFuture<Void> probe() {
		return respond("probe", null);
	}

	/**
	 * Copy of the data of the store.
	 *
	 * @param items items by key
	 * @param history changes in the order of their revisions
	 * @param leases ids of the leases
	 * @param revision revision of the last change
	 * @param nextLease id of the next lease
	 */
	record Copy(TreeMap<String, StoredItem> items, List<StoredItem> history, Set<Long> leases, long revision,
			long nextLease) {

	}

	private record Waiter(String prefix, long after, CompletableFuture<StoredItems> result) {

	}

}
