package org.wasabicart.mesh;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

/**
 * Connection of one node to a store that several nodes share. Completes futures on the
 * event loop of the node.
 */
final class NodeStore implements MeshStore {

	private final FakeMeshStore store;

	private final EventLoop eventLoop;

	private final List<CompletableFuture<?>> open = new CopyOnWriteArrayList<>();

	private volatile boolean rejecting;

	NodeStore(FakeMeshStore store, EventLoop eventLoop) {
		this.store = store;
		this.eventLoop = eventLoop;
	}

	/**
	 * Rejects all calls of the node, also those in progress.
	 * @param value whether calls are rejected
	 */
	void reject(boolean value) {
		this.rejecting = value;
		if (value) {
			this.open.forEach((call) -> call.completeExceptionally(rejection()));
		}
	}

	private static MeshStoreException rejection() {
		return new MeshStoreException(MeshStoreException.Kind.REJECTED, "rejected");
	}

	private <T> CompletableFuture<T> onEventLoop(Supplier<CompletableFuture<T>> call) {
		CompletableFuture<T> dispatched = new CompletableFuture<>();
		CompletableFuture<T> result = new CompletableFuture<>();
		this.open.add(result);
		if (this.rejecting) {
			result.completeExceptionally(rejection());
		}
		else {
			call.get().whenComplete((value, failure) -> {
				if (failure == null) {
					result.complete(value);
				}
				else {
					result.completeExceptionally(failure);
				}
			});
		}
		result.whenComplete((value, failure) -> this.open.remove(result));
		result.whenComplete((value, failure) -> {
			if (this.eventLoop.isShuttingDown()) {
				return;
			}
			this.eventLoop.execute(() -> {
				if (failure == null) {
					dispatched.complete(value);
				}
				else {
					dispatched.completeExceptionally(failure);
				}
			});
		});
		return dispatched;
	}

	@Override
	public CompletableFuture<StoredItem> get(String key) {
		return onEventLoop(() -> this.store.get(key));
	}

	@Override
	public CompletableFuture<StoredItems> list(String prefix) {
		return onEventLoop(() -> this.store.list(prefix));
	}

	@Override
	public CompletableFuture<StoredItems> watch(String prefix, StorePosition after, Duration wait) {
		return onEventLoop(() -> this.store.watch(prefix, after, wait));
	}

	@Override
	public CompletableFuture<StorePosition> write(String key, StorePosition expected, byte[] value, StoreLease lease) {
		return onEventLoop(() -> this.store.write(key, expected, value, lease));
	}

	@Override
	public CompletableFuture<StoreLease> grantLease(Duration timeToLive) {
		return onEventLoop(() -> this.store.grantLease(timeToLive));
	}

	@Override
	public CompletableFuture<StoreEra> renewLease(StoreLease lease) {
		return onEventLoop(() -> this.store.renewLease(lease));
	}

	@Override
	public CompletableFuture<Void> probe() {
		return onEventLoop(this.store::probe);
	}

}
