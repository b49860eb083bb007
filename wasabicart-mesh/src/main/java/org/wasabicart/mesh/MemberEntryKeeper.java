package org.wasabicart.mesh;

import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;

/**
 * Keeps this node's entry in the store under a lease. Each write is conditional on the
 * revision before it, so that a late one cannot undo a later one.
 */
final class MemberEntryKeeper {

	private static final Logger logger = Logger.getLogger(MemberEntryKeeper.class);

	/** Time after which the entry of a dead node disappears. */
	private static final Duration TIME_TO_LIVE = Duration.ofSeconds(6);

	/** Three renewals fit into the lease. */
	private static final long RENEW_MILLISECONDS = 2000;

	/** Pause after a failure: a lapsed entry is to be back within two seconds. */
	private static final long RETRY_MILLISECONDS = 500;

	private final MeshStore store;

	private final EventLoop eventLoop;

	private final String key;

	private byte[] desired;

	private byte[] written;

	private long revision;

	private long lease;

	private boolean busy;

	private boolean uncertain;

	MemberEntryKeeper(MeshStore store, EventLoop eventLoop, String key) {
		this.store = Objects.requireNonNull(store, "store");
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.key = Objects.requireNonNull(key, "key");
	}

	void start() {
		this.eventLoop.scheduleWithFixedDelay(this::renew, RENEW_MILLISECONDS, RENEW_MILLISECONDS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Changes the entry.
	 * @param value value, or null for no entry
	 */
	void publish(byte[] value) {
		this.desired = value;
		step();
	}

	/**
	 * The entry was seen to be missing from the store.
	 */
	void missing() {
		if (!this.busy && this.written != null) {
			this.written = null;
			this.uncertain = true;
			this.lease = 0;
			step();
		}
	}

	private void renew() {
		if (this.lease == 0 || this.busy) {
			step();
			return;
		}
		long renewed = this.lease;
		this.store.renewLease(renewed).whenComplete((result, failure) -> {
			if (failure instanceof MeshStoreException ex && ex.kind() == MeshStoreException.Kind.LEASE_ENDED
					&& this.lease == renewed) {
				logger.infof("event=entry-lapsed key=%s", this.key);
				this.lease = 0;
				this.written = null;
				this.uncertain = true;
				step();
			}
			else if (failure != null) {
				logger.debugf("event=lease-not-renewed reason=\"%s\"", failure.getMessage());
				this.eventLoop.schedule(this::renew, RETRY_MILLISECONDS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void step() {
		if (this.busy || Arrays.equals(this.desired, this.written)) {
			return;
		}
		this.busy = true;
		if (this.uncertain) {
			this.store.get(this.key).whenComplete((item, failure) -> done(failure, () -> {
				this.uncertain = false;
				this.revision = item.revision();
				this.written = null;
			}));
		}
		else if (this.lease == 0) {
			this.store.grantLease(TIME_TO_LIVE)
				.whenComplete((granted, failure) -> done(failure, () -> this.lease = granted));
		}
		else {
			byte[] value = this.desired;
			this.store.write(this.key, this.revision, value, this.lease)
				.whenComplete((changed, failure) -> done(failure, () -> {
					this.revision = (value != null) ? changed : 0;
					this.written = value;
				}));
		}
	}

	private void done(Throwable failure, Runnable success) {
		this.busy = false;
		if (failure == null) {
			success.run();
			step();
			return;
		}
		logger.debugf("event=entry-not-written key=%s reason=\"%s\"", this.key, failure.getMessage());
		MeshStoreException.Kind kind = (failure instanceof MeshStoreException ex) ? ex.kind()
				: MeshStoreException.Kind.UNKNOWN;
		switch (kind) {
			case LEASE_ENDED -> this.lease = 0;
			case CONFLICT, UNKNOWN -> this.uncertain = true;
			default -> {
			}
		}
		boolean immediate = kind == MeshStoreException.Kind.CONFLICT || kind == MeshStoreException.Kind.LEASE_ENDED;
		this.eventLoop.schedule(this::step, immediate ? 0 : RETRY_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

}
