package org.wasabicart.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * In-memory store with faults that a test enables. Several nodes may use it.
 */
final class FakeMeshStore implements MeshStore {

	final TreeMap<String, StoredItem> items = new TreeMap<>();

	final List<String> calls = new ArrayList<>();

	final List<CompletableFuture<StoredItems>> watches = new ArrayList<>();

	/** Receives each change; deleted items have no value. */
	private Consumer<StoredItem> changeListener = (item) -> {
	};

	boolean unavailable;

	boolean loseNextWriteResponse;

	boolean failNextWriteForEndedLease;

	private long revision = 10;

	private long nextLease = 100;

	void onChange(Consumer<StoredItem> listener) {
		this.changeListener = listener;
	}

	private <T> CompletableFuture<T> respond(String call, T value) {
		this.calls.add(call);
		return this.unavailable ? CompletableFuture.failedFuture(unknown()) : CompletableFuture.completedFuture(value);
	}

	private static MeshStoreException unknown() {
		return new MeshStoreException(MeshStoreException.Kind.UNKNOWN, "no response");
	}

	@Override
	public synchronized CompletableFuture<StoredItem> get(String key) {
		return respond("get", this.items.getOrDefault(key, new StoredItem(key, null, 0)));
	}

	@Override
	public synchronized CompletableFuture<StoredItems> list(String prefix) {
		return respond("list", new StoredItems(List.copyOf(this.items.values()), this.revision));
	}

	@Override
	public synchronized CompletableFuture<StoredItems> watch(String prefix, long after, Duration wait) {
		this.calls.add("watch " + after);
		CompletableFuture<StoredItems> result = new CompletableFuture<>();
		this.watches.add(result);
		return result;
	}

	@Override
	public synchronized CompletableFuture<Long> write(String key, long expected, byte[] value, long lease) {
		this.calls.add("write");
		if (this.unavailable) {
			return CompletableFuture.failedFuture(unknown());
		}
		if (this.failNextWriteForEndedLease) {
			this.failNextWriteForEndedLease = false;
			return CompletableFuture
				.failedFuture(new MeshStoreException(MeshStoreException.Kind.LEASE_ENDED, "lease " + lease));
		}
		StoredItem current = this.items.get(key);
		if (expected != ((current != null) ? current.revision() : 0)) {
			return CompletableFuture.failedFuture(new MeshStoreException(MeshStoreException.Kind.CONFLICT, key));
		}
		this.revision++;
		if (value != null) {
			this.items.put(key, new StoredItem(key, value, this.revision));
		}
		else {
			this.items.remove(key);
		}
		this.changeListener.accept(new StoredItem(key, value, this.revision));
		if (this.loseNextWriteResponse) {
			this.loseNextWriteResponse = false;
			return CompletableFuture.failedFuture(unknown());
		}
		return CompletableFuture.completedFuture(this.revision);
	}

	@Override
	public synchronized CompletableFuture<Long> grantLease(Duration timeToLive) {
		return respond("lease", this.nextLease++);
	}

	@Override
	public synchronized CompletableFuture<Void> renewLease(long lease) {
		return respond("renew", null);
	}

}
