package org.wasabicart.mesh;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Store that reports when its results show a new era.
 */
final class EraTrackingStore implements MeshStore {

	private final MeshStore store;

	private final Consumer<StoreEra> eraListener;

	private StoreEra era;

	/**
	 * Creates a store.
	 * @param store store to track
	 * @param eraListener receives the first era that is known and each later one
	 */
	EraTrackingStore(MeshStore store, Consumer<StoreEra> eraListener) {
		this.store = Objects.requireNonNull(store, "store");
		this.eraListener = Objects.requireNonNull(eraListener, "eraListener");
	}

	private void observe(StoreEra observed) {
		if (this.era == null || observed.compareTo(this.era) > 0) {
			this.era = observed;
			this.eraListener.accept(observed);
		}
	}

	private <T> CompletableFuture<T> track(CompletableFuture<T> call, EraReader<T> reader) {
		return call.thenApply((result) -> {
			observe(reader.era(result));
			return result;
		});
	}

	@Override
	public CompletableFuture<StoredItem> get(String key) {
		return track(this.store.get(key), (item) -> item.position().era());
	}

	@Override
	public CompletableFuture<StoredItems> list(String prefix) {
		return track(this.store.list(prefix), (items) -> items.position().era());
	}

	@Override
	public CompletableFuture<StoredItems> watch(String prefix, StorePosition after, Duration wait) {
		return track(this.store.watch(prefix, after, wait), (items) -> items.position().era());
	}

	@Override
	public CompletableFuture<StorePosition> write(String key, StorePosition expected, byte[] value, StoreLease lease) {
		return track(this.store.write(key, expected, value, lease), StorePosition::era);
	}

	@Override
	public CompletableFuture<StoreLease> grantLease(Duration timeToLive) {
		return track(this.store.grantLease(timeToLive), StoreLease::era);
	}

	@Override
	public CompletableFuture<StoreEra> renewLease(StoreLease lease) {
		return track(this.store.renewLease(lease), (renewed) -> renewed);
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
