package org.wasabicart.node.order;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.RequestId;
import org.wasabicart.core.model.Revision;
import org.wasabicart.core.order.ClaimController;
import org.wasabicart.store.LeaseId;
import org.wasabicart.store.StoreClient;
import org.wasabicart.store.StoreException;
import org.wasabicart.store.StoreWatch;
import org.wasabicart.store.StoreWatchListener;
import org.wasabicart.store.StoredValue;
import org.wasabicart.store.SwapResult;

/**
 * Store in virtual time that can be down and lose responses after a write.
 */
final class SimulatedStore implements StoreClient {

	private final OrderWorld world;

	private final Map<String, byte[]> values = new HashMap<>();

	private long downUntil = -1;

	private int responsesToLose;

	SimulatedStore(OrderWorld world) {
		this.world = world;
	}

	void down(long milliseconds) {
		this.downUntil = this.world.now() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
	}

	void loseResponse() {
		this.responsesToLose++;
	}

	CompletableFuture<Claim> claim(SimulatedNode.Guard guard, String key, String ticket) {
		RequestContext context = new RequestContext(new RequestId("claim"), new KindName("print-run"),
				OrderWorld.TENANT, 50, Execution.ORDER, 0, 0, 0);
		CompletableFuture<Claim> result = new CompletableFuture<>();
		new StoreKeyClaims(this, new ClaimController(1000, this.world::now), this.world::now)
			.claim(context, key, ticket, OrderWorld.NODES)
			.whenComplete((claim, failure) -> guard.run(() -> {
				if (failure != null) {
					result.completeExceptionally(failure);
				}
				else {
					result.complete(claim);
				}
			}));
		return result;
	}

	@Override
	public CompletableFuture<SwapResult> compareAndSwap(String key, Revision expected, byte[] value,
			Optional<LeaseId> lease) {
		return answer(() -> {
			byte[] current = this.values.putIfAbsent(key, value);
			return (current != null)
					? new SwapResult.Conflict(Optional.of(new StoredValue(key, current, new Revision(1))))
					: new SwapResult.Swapped(new Revision(1));
		});
	}

	@Override
	public CompletableFuture<LeaseId> grantLease(Duration timeToLive) {
		return answer(() -> new LeaseId(1));
	}

	private <T> CompletableFuture<T> answer(Supplier<T> operation) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.world.after(2, () -> {
			boolean down = this.world.now() < this.downUntil;
			T value = down ? null : operation.get();
			boolean lost = !down && value instanceof SwapResult && this.responsesToLose > 0;
			this.responsesToLose -= lost ? 1 : 0;
			if (down || lost) {
				this.world.after(500, () -> result.completeExceptionally(new StoreException("no response", null)));
			}
			else {
				result.complete(value);
			}
		});
		return result;
	}

	@Override
	public CompletableFuture<Optional<StoredValue>> get(String key) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<List<StoredValue>> list(String prefix) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Duration> keepAlive(LeaseId lease) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Void> revoke(LeaseId lease) {
		throw new UnsupportedOperationException();
	}

	@Override
	public StoreWatch watch(String key, Revision after, StoreWatchListener listener) {
		throw new UnsupportedOperationException();
	}

	@Override
	public void close() {
	}

}
