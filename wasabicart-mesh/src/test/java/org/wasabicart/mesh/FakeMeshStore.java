package org.wasabicart.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Store in memory with faults that a test switches on.
 */
final class FakeMeshStore implements MeshStore {

	final TreeMap<String, StoredItem> items = new TreeMap<>();

	final List<String> calls = new ArrayList<>();

	final List<CompletableFuture<StoredItems>> watches = new ArrayList<>();

	boolean down;

	boolean loseNextWriteAnswer;

	boolean leaseEnded;

	private long revision = 10;

	private long leases = 100;

	private <T> CompletableFuture<T> answer(String call, T value) {
		this.calls.add(call);
		return this.down ? CompletableFuture.failedFuture(unknown()) : CompletableFuture.completedFuture(value);
	}

	private static MeshStoreException unknown() {
		return new MeshStoreException(MeshStoreException.Kind.UNKNOWN, "no answer");
	}

	@Override
	public CompletableFuture<StoredItem> get(String key) {
		return answer("get", this.items.getOrDefault(key, new StoredItem(key, null, 0)));
	}

	@Override
	public CompletableFuture<StoredItems> list(String prefix) {
		return answer("list", new StoredItems(List.copyOf(this.items.values()), this.revision));
	}

	@Override
	public CompletableFuture<StoredItems> watch(String prefix, long after, Duration wait) {
		this.calls.add("watch " + after);
		CompletableFuture<StoredItems> result = new CompletableFuture<>();
		this.watches.add(result);
		return result;
	}

	@Override
	public CompletableFuture<Long> write(String key, long expected, byte[] value, long lease) {
		this.calls.add("write");
		if (this.down) {
			return CompletableFuture.failedFuture(unknown());
		}
		if (this.leaseEnded) {
			this.leaseEnded = false;
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
		if (this.loseNextWriteAnswer) {
			this.loseNextWriteAnswer = false;
			return CompletableFuture.failedFuture(unknown());
		}
		return CompletableFuture.completedFuture(this.revision);
	}

	@Override
	public CompletableFuture<Long> grantLease(Duration timeToLive) {
		return answer("lease", this.leases++);
	}

	@Override
	public CompletableFuture<Void> renewLease(long lease) {
		return answer("renew", null);
	}

}
