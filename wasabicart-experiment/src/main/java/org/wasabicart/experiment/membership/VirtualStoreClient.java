package org.wasabicart.experiment.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.wasabicart.core.model.Revision;
import org.wasabicart.store.LeaseId;
import org.wasabicart.store.StoreClient;
import org.wasabicart.store.StoreException;
import org.wasabicart.store.StoreWatch;
import org.wasabicart.store.StoreWatchListener;
import org.wasabicart.store.StoredValue;
import org.wasabicart.store.SwapResult;

/**
 * Client of a {@link VirtualStore}. An immediate client completes its calls before they
 * return, for callers that block.
 */
final class VirtualStoreClient implements StoreClient {

	private static final long RESPONSE_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(3);

	private static final long TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

	private final VirtualStore store;

	private final boolean immediate;

	private Runnable beforeSwap = () -> {
	};

	VirtualStoreClient(VirtualStore store, boolean immediate) {
		this.store = store;
		this.immediate = immediate;
	}

	// Runs the action once, between the read and the write of the next publication.
	void beforeNextSwap(Runnable action) {
		this.beforeSwap = action;
	}

	private <T> CompletableFuture<T> call(Supplier<T> operation) {
		this.store.countCall();
		if (this.store.isDown()) {
			return noResponse();
		}
		T result = operation.get();
		if (this.store.losesResponse()) {
			return noResponse();
		}
		return completeAfter(RESPONSE_DELAY_NANOSECONDS, (future) -> future.complete(result));
	}

	private <T> CompletableFuture<T> noResponse() {
		return completeAfter(TIMEOUT_NANOSECONDS,
				(future) -> future.completeExceptionally(new StoreException("The store did not respond", null)));
	}

	private <T> CompletableFuture<T> completeAfter(long delay, Consumer<CompletableFuture<T>> completion) {
		CompletableFuture<T> future = new CompletableFuture<>();
		if (this.immediate) {
			completion.accept(future);
		}
		else {
			VirtualTime time = this.store.time();
			time.schedule(time.nanoseconds() + delay, () -> completion.accept(future));
		}
		return future;
	}

	@Override
	public CompletableFuture<Optional<StoredValue>> get(String key) {
		return call(() -> this.store.get(key));
	}

	@Override
	public CompletableFuture<List<StoredValue>> list(String prefix) {
		return call(() -> this.store.list(prefix));
	}

	@Override
	public CompletableFuture<SwapResult> compareAndSwap(String key, Revision expected, byte[] value,
			Optional<LeaseId> lease) {
		Runnable before = this.beforeSwap;
		this.beforeSwap = () -> {
		};
		before.run();
		return call(() -> this.store.swap(key, expected, value, lease));
	}

	@Override
	public CompletableFuture<LeaseId> grantLease(Duration timeToLive) {
		return call(() -> this.store.grant(timeToLive));
	}

	@Override
	public CompletableFuture<Duration> keepAlive(LeaseId lease) {
		return call(() -> this.store.keepAlive(lease));
	}

	@Override
	public CompletableFuture<Void> revoke(LeaseId lease) {
		return call(() -> {
			this.store.revoke(lease);
			return null;
		});
	}

	@Override
	public StoreWatch watch(String key, Revision after, StoreWatchListener listener) {
		this.store.countCall();
		if (this.store.isDown()) {
			VirtualTime time = this.store.time();
			time.schedule(time.nanoseconds() + TIMEOUT_NANOSECONDS,
					() -> listener.ended(new StoreException("The store did not respond", null)));
			return () -> {
			};
		}
		return this.store.watch(key, after, listener);
	}

	@Override
	public void close() {
	}

}
