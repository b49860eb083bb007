package org.wasabicart.mesh;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;

/**
 * Store that holds calls back while it does not serve this node, and sends inexpensive
 * probes instead. Handles an outage that many nodes see, for all of which each rejected
 * call is charged and counts towards the rate limits of the store. Calls are released
 * with the first probe that is answered.
 */
final class ProbedStore implements MeshStore {

	private static final Logger logger = Logger.getLogger(ProbedStore.class);

	private static final long MINIMUM_PROBE_DELAY_MILLISECONDS = 100;

	/**
	 * A lapsed entry must be written again within two seconds after the store serves this
	 * node again, and three calls are needed for that.
	 */
	private static final long MAXIMUM_PROBE_DELAY_MILLISECONDS = 400;

	private final MeshStore store;

	private final EventLoop eventLoop;

	private final RandomGenerator random;

	private final Deque<Runnable> heldCalls = new ArrayDeque<>();

	private boolean away;

	private long probeDelayMilliseconds;

	/**
	 * Creates a store.
	 * @param store store that answers the calls
	 * @param eventLoop event loop of the node
	 * @param random random source, which spreads the probes of many nodes
	 */
	ProbedStore(MeshStore store, EventLoop eventLoop, RandomGenerator random) {
		this.store = Objects.requireNonNull(store, "store");
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Returns whether calls are held back because the store does not serve this node.
	 * @return whether the last call or probe has failed
	 */
	boolean away() {
		return this.away;
	}

	private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
		if (!this.away) {
			return send(call);
		}
		CompletableFuture<T> result = new CompletableFuture<>();
		this.heldCalls.addLast(() -> {
			if (!result.isDone()) {
				forward(send(call), result);
			}
		});
		return result;
	}

	private <T> CompletableFuture<T> send(Supplier<CompletableFuture<T>> call) {
		CompletableFuture<T> sent = call.get();
		sent.whenComplete((value, failure) -> {
			if (isUnanswered(failure) && !this.away) {
				this.away = true;
				this.probeDelayMilliseconds = MINIMUM_PROBE_DELAY_MILLISECONDS;
				logger.debugf("event=store-calls-held reason=\"%s\"", LogReason.of(failure));
				this.eventLoop.execute(this::sendProbe);
			}
		});
		return sent;
	}

	private static <T> void forward(CompletableFuture<T> sent, CompletableFuture<T> result) {
		result.whenComplete((value, failure) -> sent.cancel(false));
		sent.whenComplete((value, failure) -> {
			if (failure != null) {
				result.completeExceptionally(failure);
			}
			else {
				result.complete(value);
			}
		});
	}

	private static boolean isUnanswered(Throwable failure) {
		return failure instanceof MeshStoreException ex
				&& (ex.kind() == MeshStoreException.Kind.UNKNOWN || ex.kind() == MeshStoreException.Kind.REJECTED);
	}

	private void sendProbe() {
		this.store.probe().whenComplete((value, failure) -> {
			if (failure == null) {
				release();
				return;
			}
			long delay = this.probeDelayMilliseconds / 2 + this.random.nextLong(this.probeDelayMilliseconds);
			this.probeDelayMilliseconds = Math.min(MAXIMUM_PROBE_DELAY_MILLISECONDS, 2 * this.probeDelayMilliseconds);
			this.eventLoop.schedule(this::sendProbe, delay, TimeUnit.MILLISECONDS);
		});
	}

	private void release() {
		this.away = false;
		int held = this.heldCalls.size();
		logger.debugf("event=store-calls-released calls=%d", held);
		for (int i = 0; i < held; i++) {
			this.heldCalls.pollFirst().run();
		}
	}

	@Override
	public CompletableFuture<StoredItem> get(String key) {
		return call(() -> this.store.get(key));
	}

	@Override
	public CompletableFuture<StoredItems> list(String prefix) {
		return call(() -> this.store.list(prefix));
	}

	@Override
	public CompletableFuture<StoredItems> watch(String prefix, StorePosition after, Duration wait) {
		return call(() -> this.store.watch(prefix, after, wait));
	}

	@Override
	public CompletableFuture<StorePosition> write(String key, StorePosition expected, byte[] value, StoreLease lease) {
		return call(() -> this.store.write(key, expected, value, lease));
	}

	@Override
	public CompletableFuture<StoreLease> grantLease(Duration timeToLive) {
		return call(() -> this.store.grantLease(timeToLive));
	}

	@Override
	public CompletableFuture<StoreEra> renewLease(StoreLease lease) {
		return call(() -> this.store.renewLease(lease));
	}

	@Override
	public CompletableFuture<Void> probe() {
		return this.store.probe();
	}

}
