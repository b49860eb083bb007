package org.wasabicart.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoop;

/**
 * Connection of one node to a store that several nodes share. Completes futures on the
 * event loop of the node, and watches with the changes that other nodes make.
 */
final class NodeStore implements MeshStore {

	private final FakeMeshStore store;

	private final EventLoop eventLoop;

	private final List<StoredItem> changes = new ArrayList<>();

	private String watchedPrefix = "";

	private CompletableFuture<StoredItems> watch;

	NodeStore(FakeMeshStore store, EventLoop eventLoop) {
		this.store = store;
		this.eventLoop = eventLoop;
	}

	/**
	 * Records a change; may be invoked on any thread.
	 * @param item changed item
	 */
	void changed(StoredItem item) {
		if (!this.eventLoop.isShuttingDown()) {
			this.eventLoop.execute(() -> {
				this.changes.add(item);
				completeWatch();
			});
		}
	}

	private void completeWatch() {
		List<StoredItem> matching = this.changes.stream()
			.filter((item) -> item.key().startsWith(this.watchedPrefix))
			.toList();
		if (this.watch != null && !matching.isEmpty()) {
			CompletableFuture<StoredItems> completed = this.watch;
			this.watch = null;
			this.changes.clear();
			completed.complete(new StoredItems(matching, matching.get(matching.size() - 1).revision()));
		}
	}

	private <T> CompletableFuture<T> onEventLoop(CompletableFuture<T> result) {
		CompletableFuture<T> dispatched = new CompletableFuture<>();
		result.whenComplete((value, failure) -> this.eventLoop.execute(() -> {
			if (failure == null) {
				dispatched.complete(value);
			}
			else {
				dispatched.completeExceptionally(failure);
			}
		}));
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
	public CompletableFuture<StoredItems> watch(String prefix, long after, Duration wait) {
		CompletableFuture<StoredItems> result = new CompletableFuture<>();
		if (prefix.endsWith("/")) {
			this.watchedPrefix = prefix;
			this.watch = result;
			completeWatch();
		}
		return result;
	}

	@Override
	public CompletableFuture<Long> write(String key, long expected, byte[] value, long lease) {
		return onEventLoop(this.store.write(key, expected, value, lease));
	}

	@Override
	public CompletableFuture<Long> grantLease(Duration timeToLive) {
		return onEventLoop(this.store.grantLease(timeToLive));
	}

	@Override
	public CompletableFuture<Void> renewLease(long lease) {
		return onEventLoop(this.store.renewLease(lease));
	}

}
