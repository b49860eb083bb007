package org.wasabicart.mesh;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;

/**
 * Follows the keys below a prefix: one reading of all, then changes. Starts over when the
 * store has lost the history.
 */
final class PrefixWatch {

	private static final Logger logger = Logger.getLogger(PrefixWatch.class);

	/** Longest time that one call waits: a lost call is noticed by keep-alive probes. */
	private static final Duration WAIT = Duration.ofSeconds(20);

	private static final long PAUSE_MINIMUM_MILLISECONDS = 200;

	/** Entries must be seen within two seconds of the store's return. */
	private static final long PAUSE_MAXIMUM_MILLISECONDS = 800;

	private final MeshStore store;

	private final EventLoop eventLoop;

	private final String prefix;

	private final Consumer<MeshStore.StoredItems> all;

	private final Consumer<MeshStore.StoredItems> changes;

	private final Duration batch;

	private long revision = -1;

	private long pause = PAUSE_MINIMUM_MILLISECONDS;

	private boolean reachable;

	/**
	 * Creates a watch.
	 * @param store store
	 * @param eventLoop event loop of the node
	 * @param prefix prefix of the keys
	 * @param batch pause between two calls, which collects changes that come close
	 * together
	 * @param all receives all items
	 * @param changes receives changed items
	 */
	PrefixWatch(MeshStore store, EventLoop eventLoop, String prefix, Duration batch,
			Consumer<MeshStore.StoredItems> all, Consumer<MeshStore.StoredItems> changes) {
		this.store = Objects.requireNonNull(store, "store");
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.prefix = Objects.requireNonNull(prefix, "prefix");
		this.batch = Objects.requireNonNull(batch, "batch");
		this.all = Objects.requireNonNull(all, "all");
		this.changes = Objects.requireNonNull(changes, "changes");
	}

	void start() {
		next();
	}

	/**
	 * Returns whether the last call was answered.
	 * @return whether the store answers
	 */
	boolean reachable() {
		return this.reachable;
	}

	private void next() {
		if (this.revision < 0) {
			this.store.list(this.prefix).whenComplete((items, failure) -> ended(items, failure, this.all));
		}
		else {
			this.store.watch(this.prefix, this.revision, WAIT)
				.whenComplete((items, failure) -> ended(items, failure, this.changes));
		}
	}

	private void ended(MeshStore.StoredItems items, Throwable failure, Consumer<MeshStore.StoredItems> listener) {
		if (failure == null) {
			if (!this.reachable) {
				this.reachable = true;
				logger.infof("event=store-reached prefix=%s revision=%d", this.prefix, items.revision());
			}
			this.pause = PAUSE_MINIMUM_MILLISECONDS;
			this.revision = Math.max(this.revision, items.revision());
			listener.accept(items);
			schedule(this.batch.toMillis());
			return;
		}
		if (failure instanceof MeshStoreException ex && ex.kind() == MeshStoreException.Kind.HISTORY_LOST) {
			logger.infof("event=store-history-lost prefix=%s revision=%d", this.prefix, this.revision);
			this.revision = -1;
			schedule(0);
			return;
		}
		if (this.reachable) {
			this.reachable = false;
			logger.warnf("event=store-lost prefix=%s reason=\"%s\"", this.prefix, failure.getMessage());
		}
		schedule(this.pause);
		this.pause = Math.min(PAUSE_MAXIMUM_MILLISECONDS, 2 * this.pause);
	}

	private void schedule(long milliseconds) {
		this.eventLoop.schedule(this::next, milliseconds, TimeUnit.MILLISECONDS);
	}

}
