package org.wasabicart.mesh;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoop;

/**
 * Connection of one node to a store that several nodes share. Completes futures on the
 * event loop of the node.
 */
final class NodeStore implements MeshStore {

	private final FakeMeshStore store;

	private final EventLoop eventLoop;

	NodeStore(FakeMeshStore store, EventLoop eventLoop) {
		this.store = store;
		this.eventLoop = eventLoop;
	}

	private <T> CompletableFuture<T> onEventLoop(CompletableFuture<T> result) {
		CompletableFuture<T> dispatched = new CompletableFuture<>();
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
		return onEventLoop(this.store.get(key));
	}

	@Override
	public CompletableFuture<StoredItems> list(String prefix) {
		return onEventLoop(this.store.list(prefix));
	}

	@Override
	public CompletableFuture<StoredItems> watch(String prefix, StorePosition after, Duration wait) {
		return onEventLoop(this.store.watch(prefix, after, wait));
	}

	@Override
	public CompletableFuture<StorePosition> write(String key, StorePosition expected, byte[] value, StoreLease lease) {
		return onEventLoop(this.store.write(key, expected, value, lease));
	}

	@Override
	public CompletableFuture<StoreLease> grantLease(Duration timeToLive) {
		return onEventLoop(this.store.grantLease(timeToLive));
	}

	@Override
	public CompletableFuture<StoreEra> renewLease(StoreLease lease) {
		return onEventLoop(this.store.renewLease(lease));
	}

}
