package org.wasabicart.mesh;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Store that fails calls whose position or lease belongs to another era than their
 * result, and results of earlier eras than the latest known one. Ends waiting watch calls
 * as soon as any result shows a new era.
 */
final class EraCheckedStore implements MeshStore {

	private final MeshStore store;

	private final EraListener eraListener;

	private final Set<CompletableFuture<StoredItems>> waitingWatches = new LinkedHashSet<>();

	private StoreEra era;

	/**
	 * Creates a store.
	 * @param store store whose results are checked
	 * @param eraListener receives each new era
	 */
	EraCheckedStore(MeshStore store, EraListener eraListener) {
		this.store = Objects.requireNonNull(store, "store");
		this.eraListener = Objects.requireNonNull(eraListener, "eraListener");
	}

	/**
	 * Records the era of a result.
	 * @param observed era
	 * @return whether it is the latest known one
	 */
	private boolean observe(StoreEra observed) {
		if (this.era != null && observed.compareTo(this.era) <= 0) {
			return observed.equals(this.era);
		}
		boolean restored = this.era != null;
		this.era = observed;
		this.eraListener.eraStarted(observed, restored);
		List<CompletableFuture<StoredItems>> outdated = List.copyOf(this.waitingWatches);
		this.waitingWatches.clear();
		outdated.forEach((watch) -> watch.completeExceptionally(restored()));
		return true;
	}

	private boolean isOutdated(StoreEra other) {
		return this.era != null && !other.equals(this.era);
	}

	private static MeshStoreException restored() {
		return new MeshStoreException(MeshStoreException.Kind.RESTORED, "Store has returned from an older copy");
	}

	private <T> CompletableFuture<T> check(CompletableFuture<T> call, EraReader<T> reader) {
		CompletableFuture<T> result = new CompletableFuture<>();
		call.whenComplete(
				(value, failure) -> complete(result, value, failure, (failure == null) && observe(reader.era(value))));
		return result;
	}

	// A result of another era is a failure, even if the store has found the position or
	// the lease of the call.
	private <T> CompletableFuture<T> checkWithin(StoreEra required, CompletableFuture<T> call, EraReader<T> reader) {
		CompletableFuture<T> result = new CompletableFuture<>();
		call.whenComplete((value, failure) -> complete(result, value, failure,
				(failure == null) && observe(reader.era(value)) && reader.era(value).equals(required)));
		return result;
	}

	// A dependent stage would wrap the failure, whose kind the callers need.
	private static <T> void complete(CompletableFuture<T> result, T value, Throwable failure, boolean valid) {
		if (failure != null) {
			result.completeExceptionally(failure);
		}
		else if (valid) {
			result.complete(value);
		}
		else {
			result.completeExceptionally(restored());
		}
	}

	@Override
	public CompletableFuture<StoredItem> get(String key) {
		return check(this.store.get(key), (item) -> item.position().era());
	}

	@Override
	public CompletableFuture<StoredItems> list(String prefix) {
		return check(this.store.list(prefix), (items) -> items.position().era());
	}

	@Override
	public CompletableFuture<StoredItems> watch(String prefix, StorePosition after, Duration wait) {
		if (isOutdated(after.era())) {
			return CompletableFuture.failedFuture(restored());
		}
		CompletableFuture<StoredItems> call = this.store.watch(prefix, after, wait);
		CompletableFuture<StoredItems> result = checkWithin(after.era(), call, (items) -> items.position().era());
		if (!result.isDone()) {
			this.waitingWatches.add(result);
			result.whenComplete((items, failure) -> {
				this.waitingWatches.remove(result);
				call.cancel(false);
			});
		}
		return result;
	}

	@Override
	public CompletableFuture<StorePosition> write(String key, StorePosition expected, byte[] value, StoreLease lease) {
		if (isOutdated(lease.era())) {
			return CompletableFuture.failedFuture(restored());
		}
		return checkWithin(lease.era(), this.store.write(key, expected, value, lease), StorePosition::era);
	}

	@Override
	public CompletableFuture<StoreLease> grantLease(Duration timeToLive) {
		return check(this.store.grantLease(timeToLive), StoreLease::era);
	}

	@Override
	public CompletableFuture<StoreEra> renewLease(StoreLease lease) {
		if (isOutdated(lease.era())) {
			return CompletableFuture.failedFuture(restored());
		}
		return checkWithin(lease.era(), this.store.renewLease(lease), (renewed) -> renewed);
	}

	@Override
	public CompletableFuture<Void> probe() {
		return this.store.probe();
	}

	/**
	 * Receives the eras of the store.
	 */
	@FunctionalInterface
	interface EraListener {

		/**
		 * A result has shown a new era.
		 * @param era era
		 * @param restored whether an earlier era was known, so that the store has
		 * returned from an older copy
		 */
		void eraStarted(StoreEra era, boolean restored);

	}

	/**
	 * Returns the era that a result states.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	private interface EraReader<T> {

		StoreEra era(T result);

	}

}
