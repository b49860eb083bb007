package org.wasabicart.mesh;

import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;

/**
 * Publishes this node's entry in the store under a lease, and restores it after a
 * failure. Each write expects the revision of the previous one, so that a delayed write
 * cannot overwrite a newer one.
 */
final class MemberEntryPublisher {

	private static final Logger logger = Logger.getLogger(MemberEntryPublisher.class);

	/** Time after which the store deletes the entry of a node that has failed. */
	static final Duration LEASE_TIME_TO_LIVE = Duration.ofSeconds(6);

	/** A third of the lease, so that a failed renewal can be repeated in time. */
	private static final long RENEWAL_INTERVAL_MILLISECONDS = 2000;

	/** Delay after a failure: a lapsed entry must be restored within two seconds. */
	private static final long RETRY_DELAY_MILLISECONDS = 500;

	private final MeshStore store;

	private final EventLoop eventLoop;

	private final String key;

	private byte[] desiredValue;

	private byte[] writtenValue;

	private StorePosition position = new StorePosition(StoreEra.UNSTATED, 0);

	private StoreLease lease;

	private boolean callInProgress;

	private boolean renewalInProgress;

	private boolean renewalScheduled;

	private boolean storedEntryUnknown;

	/** Latest position at which the store has reported this entry; null if none. */
	private StorePosition observedPosition;

	MemberEntryPublisher(MeshStore store, EventLoop eventLoop, String key) {
		this.store = Objects.requireNonNull(store, "store");
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.key = Objects.requireNonNull(key, "key");
	}

	void start() {
		this.eventLoop.scheduleWithFixedDelay(this::renew, RENEWAL_INTERVAL_MILLISECONDS, RENEWAL_INTERVAL_MILLISECONDS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Changes the entry.
	 * @param value new value, or null to delete the entry
	 */
	void publish(byte[] value) {
		this.desiredValue = value;
		reconcile();
	}

	/**
	 * Restores the entry after it was found to be missing from the store.
	 */
	void entryMissing() {
		if (!this.callInProgress && this.writtenValue != null) {
			this.writtenValue = null;
			this.storedEntryUnknown = true;
			this.lease = null;
			reconcile();
		}
	}

	/**
	 * Processes the entry as the store holds it. An entry that is newer than the last
	 * write comes from another writer, such as a delayed write of this node that took
	 * effect after the store returned from an older copy; it is replaced.
	 * @param stored position of the entry
	 */
	void entryObserved(StorePosition stored) {
		this.observedPosition = stored;
		reconcile();
	}

	private boolean isReplaced() {
		return this.observedPosition != null && this.observedPosition.era().equals(this.position.era())
				&& this.observedPosition.revision() > this.position.revision();
	}

	/**
	 * Writes the entry again after the store has returned from an older copy, which may
	 * lack the entry or hold an earlier one. The lease may be gone, or its id may belong
	 * to another node.
	 */
	void storeRestored() {
		this.lease = null;
		this.writtenValue = null;
		this.storedEntryUnknown = true;
		reconcile();
	}

	private void renew() {
		if (this.lease == null || this.callInProgress) {
			reconcile();
			return;
		}
		if (this.renewalInProgress) {
			return;
		}
		this.renewalInProgress = true;
		StoreLease renewed = this.lease;
		this.store.renewLease(renewed).whenComplete((result, failure) -> {
			this.renewalInProgress = false;
			if (isLeaseInvalid(failure)) {
				if (renewed.equals(this.lease)) {
					logger.infof("event=entry-lapsed key=%s", this.key);
					this.lease = null;
					this.writtenValue = null;
					this.storedEntryUnknown = true;
					reconcile();
				}
			}
			else if (failure != null) {
				logger.debugf("event=lease-not-renewed reason=\"%s\"", failure.getMessage());
				scheduleRenewal();
			}
		});
	}

	// Renewals that fail while a repeated one is scheduled must not add further ones.
	private void scheduleRenewal() {
		if (!this.renewalScheduled) {
			this.renewalScheduled = true;
			this.eventLoop.schedule(() -> {
				this.renewalScheduled = false;
				renew();
			}, RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
		}
	}

	private static boolean isLeaseInvalid(Throwable failure) {
		return failure instanceof MeshStoreException ex
				&& (ex.kind() == MeshStoreException.Kind.LEASE_ENDED || ex.kind() == MeshStoreException.Kind.RESTORED);
	}

	private void reconcile() {
		if (this.callInProgress) {
			return;
		}
		if (this.writtenValue != null && isReplaced()) {
			logger.warnf("event=entry-replaced key=%s revision=%d written_revision=%d era=%s", this.key,
					this.observedPosition.revision(), this.position.revision(), this.position.era());
			this.writtenValue = null;
			this.storedEntryUnknown = true;
		}
		if (Arrays.equals(this.desiredValue, this.writtenValue)) {
			return;
		}
		this.callInProgress = true;
		if (this.storedEntryUnknown) {
			this.store.get(this.key).whenComplete((item, failure) -> handleResult(failure, () -> {
				this.storedEntryUnknown = false;
				this.position = item.position();
				this.writtenValue = null;
			}));
		}
		else if (this.lease == null) {
			this.store.grantLease(LEASE_TIME_TO_LIVE)
				.whenComplete((granted, failure) -> handleResult(failure, () -> this.lease = granted));
		}
		else {
			byte[] value = this.desiredValue;
			this.store.write(this.key, this.position, value, this.lease)
				.whenComplete((changed, failure) -> handleResult(failure, () -> {
					logger.infof("event=entry-written key=%s revision=%d era=%s lease=%d", this.key, changed.revision(),
							changed.era(), this.lease.id());
					this.position = (value != null) ? changed : new StorePosition(changed.era(), 0);
					this.writtenValue = value;
				}));
		}
	}

	private void handleResult(Throwable failure, Runnable success) {
		this.callInProgress = false;
		if (failure == null) {
			success.run();
			reconcile();
			return;
		}
		logger.debugf("event=entry-not-written key=%s reason=\"%s\"", this.key, failure.getMessage());
		MeshStoreException.Kind kind = (failure instanceof MeshStoreException ex) ? ex.kind()
				: MeshStoreException.Kind.UNKNOWN;
		switch (kind) {
			case LEASE_ENDED -> this.lease = null;
			case CONFLICT, UNKNOWN -> this.storedEntryUnknown = true;
			case RESTORED -> {
				this.lease = null;
				this.storedEntryUnknown = true;
			}
			default -> {
			}
		}
		boolean immediate = kind == MeshStoreException.Kind.CONFLICT || isLeaseInvalid(failure);
		this.eventLoop.schedule(this::reconcile, immediate ? 0 : RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

}
