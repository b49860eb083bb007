package org.wasabicart.node.membership;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.jboss.logging.Logger;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.membership.ContactLease;
import org.wasabicart.core.membership.ReconnectBackoff;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.Revision;
import org.wasabicart.store.LeaseId;
import org.wasabicart.store.StoreClient;
import org.wasabicart.store.StoredValue;
import org.wasabicart.store.SwapResult;

/**
 * Contact entries in the store: maintains the entry of the local node while it is a
 * contact node, and reads all entries to join or to reconnect after a partition.
 */
final class ContactEntries {

	/** Prefix of the keys, followed by the node id. */
	static final String KEY_PREFIX = "/wasabicart/contacts/";

	private static final Logger LOGGER = Logger.getLogger(ContactEntries.class);

	private static final long MEAN_READ_INTERVAL_NANOSECONDS = Duration.ofSeconds(60).toNanos();

	private static final Duration FIRST_BACKOFF = Duration.ofSeconds(1);

	private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(15);

	private final StoreClient store;

	private final String key;

	private final byte[] value;

	private final ContactLease lease;

	private final Ticker ticker;

	private final Executor executor;

	private final ReconnectBackoff backoff;

	private final ReconnectBackoff isolatedBackoff;

	private final RandomGenerator random;

	private final Consumer<Collection<NodeAddress>> contactConsumer;

	private final Runnable storeFailureCallback;

	private LeaseId leaseId;

	private Revision writtenRevision = new Revision(0);

	private boolean isolated;

	private boolean reading;

	private long nextReadTime;

	ContactEntries(StoreClient store, NodeId local, NodeAddress address, Ticker ticker, RandomGenerator random,
			Executor executor, Consumer<Collection<NodeAddress>> contactConsumer, Runnable storeFailureCallback) {
		this.storeFailureCallback = storeFailureCallback;
		this.store = store;
		this.key = KEY_PREFIX + local.value();
		this.value = address.toString().getBytes(StandardCharsets.UTF_8);
		this.lease = new ContactLease(ticker, random);
		this.ticker = ticker;
		this.random = random;
		this.executor = executor;
		this.backoff = new ReconnectBackoff(FIRST_BACKOFF, MAXIMUM_BACKOFF, random);
		this.isolatedBackoff = new ReconnectBackoff(FIRST_BACKOFF, MAXIMUM_BACKOFF, random);
		this.contactConsumer = contactConsumer;
		this.nextReadTime = ticker.nanoseconds();
	}

	void tick(boolean contact, boolean isolated) {
		this.isolated = isolated;
		ContactLease.Call call = this.lease.startNextCall(contact);
		if (call != ContactLease.Call.NONE) {
			startCall(call)
				.whenComplete((successful, ex) -> this.executor.execute(() -> callEnded(call, successful, ex)));
		}
		if ((contact || isolated) && !this.reading && this.ticker.nanoseconds() - this.nextReadTime >= 0) {
			read();
		}
	}

	private CompletableFuture<Boolean> startCall(ContactLease.Call call) {
		return switch (call) {
			case GRANT -> this.store.grantLease(ContactLease.TIME_TO_LIVE).thenApply((id) -> {
				this.leaseId = id;
				return true;
			});
			case WRITE ->
				this.store.compareAndSwap(this.key, this.writtenRevision, this.value, Optional.of(this.leaseId))
					.thenApply(this::recordSwapResult);
			case KEEP_ALIVE ->
				this.store.keepAlive(this.leaseId).thenApply((remaining) -> remaining.compareTo(Duration.ZERO) > 0);
			case REVOKE -> this.store.revoke(this.leaseId).thenApply((ignored) -> true);
			case NONE -> CompletableFuture.completedFuture(true);
		};
	}

	// On a conflict, the key still holds the entry of an earlier run or lease. The next
	// attempt replaces it.
	private boolean recordSwapResult(SwapResult result) {
		if (result instanceof SwapResult.Conflict conflict) {
			this.writtenRevision = conflict.current().map(StoredValue::revision).orElse(new Revision(0));
			return false;
		}
		this.writtenRevision = ((SwapResult.Swapped) result).revision();
		return true;
	}

	private void callEnded(ContactLease.Call call, Boolean successful, Throwable failure) {
		if (failure != null) {
			LOGGER.debugf("event=contact-call-failed call=%s reason=%s", call, failure.getMessage());
			this.lease.failed();
			this.storeFailureCallback.run();
		}
		else if (successful) {
			this.lease.succeeded(call);
			if (call == ContactLease.Call.WRITE) {
				// Reads again right after the write, since of two nodes that write and
				// then read, at least one finds the other. Without this read, nodes that
				// start at the same moment would miss each other until the next periodic
				// read.
				this.nextReadTime = this.ticker.nanoseconds();
			}
		}
		else if (call == ContactLease.Call.KEEP_ALIVE) {
			this.lease.leaseLost();
		}
		else {
			this.lease.failed();
		}
	}

	/**
	 * Revokes the lease, so that new nodes do not try to join through a node that has
	 * left. If the call fails, the entry expires with the lease.
	 */
	void close() {
		if (this.lease.isHeld()) {
			this.store.revoke(this.leaseId);
		}
	}

	private void read() {
		this.reading = true;
		this.store.list(KEY_PREFIX).whenComplete((values, ex) -> this.executor.execute(() -> readEnded(values, ex)));
	}

	private void readEnded(List<StoredValue> values, Throwable failure) {
		this.reading = false;
		long now = this.ticker.nanoseconds();
		if (failure != null) {
			this.nextReadTime = now + this.backoff.nextDelay();
			return;
		}
		this.backoff.reset();
		this.nextReadTime = now + nextReadDelay();
		List<NodeAddress> addresses = new ArrayList<>();
		for (StoredValue entry : values) {
			parseAddress(entry).ifPresent(addresses::add);
		}
		this.contactConsumer.accept(addresses);
	}

	private long nextReadDelay() {
		if (this.isolated) {
			return this.isolatedBackoff.nextDelay();
		}
		this.isolatedBackoff.reset();
		return MEAN_READ_INTERVAL_NANOSECONDS / 2 + this.random.nextLong(MEAN_READ_INTERVAL_NANOSECONDS);
	}

	private static Optional<NodeAddress> parseAddress(StoredValue entry) {
		String text = new String(entry.value(), StandardCharsets.UTF_8);
		int colon = text.lastIndexOf(':');
		try {
			return Optional.of(new NodeAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
		}
		catch (IllegalArgumentException | StringIndexOutOfBoundsException ex) {
			LOGGER.warnf("event=contact-entry-unreadable key=%s", entry.key());
			return Optional.empty();
		}
	}

}
