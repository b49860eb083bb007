package org.wasabicart.mesh.allotment;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;

import org.jboss.logging.Logger;

import org.wasabicart.mesh.MeshStore;
import org.wasabicart.mesh.StoreLease;
import org.wasabicart.mesh.StorePosition;

/**
 * Record of the number of nodes in the store, as a decimal number. It has no lease, so
 * that nodes which start together after their entries have run out read it with the first
 * list. The coordinator keeps it up to date.
 */
public final class FleetSizeRecord {

	private static final Logger logger = Logger.getLogger(FleetSizeRecord.class);

	/** Name behind the prefix of the nodes' entries; no node can have it. */
	private static final String NAME = "~nodes";

	private static final Pattern FORMAT = Pattern.compile("[1-9][0-9]{0,5}");

	/** Time after a failed write until the next one. */
	private static final long RETRY_DELAY = TimeUnit.SECONDS.toNanos(1);

	private final MeshStore store;

	private final String key;

	private final FleetAllotments allotments;

	private final LongSupplier clock;

	private StorePosition position;

	private boolean callInProgress;

	private long earliestCall;

	/**
	 * Creates a record that has not been read.
	 * @param store store
	 * @param memberPrefix prefix of the keys of the nodes' entries
	 * @param allotments use the size and tell which one to record
	 * @param clock provides the current time in nanoseconds
	 */
	public FleetSizeRecord(MeshStore store, String memberPrefix, FleetAllotments allotments, LongSupplier clock) {
		this.store = Objects.requireNonNull(store, "store");
		this.key = Objects.requireNonNull(memberPrefix, "memberPrefix") + NAME;
		this.allotments = Objects.requireNonNull(allotments, "allotments");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.earliestCall = clock.getAsLong();
	}

	/**
	 * Returns whether an item is the record and not the entry of a node.
	 * @param item item with the prefix
	 * @return whether it is the record
	 */
	public boolean is(MeshStore.StoredItem item) {
		return item.key().equals(this.key);
	}

	/**
	 * Processes a list of all items with the prefix.
	 * @param items items
	 */
	public void listed(MeshStore.StoredItems items) {
		this.position = new StorePosition(items.position().era(), 0);
		OptionalInt size = OptionalInt.empty();
		for (MeshStore.StoredItem item : items.items()) {
			if (is(item)) {
				size = read(item);
			}
		}
		this.allotments.fleetListed(size);
	}

	/**
	 * Processes changed items with the prefix.
	 * @param items items
	 */
	public void changed(MeshStore.StoredItems items) {
		items.items().stream().filter(this::is).forEach((item) -> this.allotments.fleetSizeRecorded(read(item)));
	}

	private OptionalInt read(MeshStore.StoredItem item) {
		boolean present = item.value() != null;
		this.position = present ? item.position() : new StorePosition(item.position().era(), 0);
		if (!present) {
			return OptionalInt.empty();
		}
		String text = new String(item.value(), StandardCharsets.US_ASCII);
		if (!FORMAT.matcher(text).matches()) {
			logger.warnf("event=fleet-size-unreadable key=%s revision=%d", this.key, item.position().revision());
			return OptionalInt.empty();
		}
		return OptionalInt.of(Integer.parseInt(text));
	}

	/**
	 * Writes the record if this node coordinates and the record is not right.
	 */
	public void tick() {
		long now = this.clock.getAsLong();
		if (this.position == null || this.callInProgress || now - this.earliestCall < 0) {
			return;
		}
		this.allotments.fleetSizeToRecord(now).ifPresent(this::write);
	}

	private void write(int size) {
		this.callInProgress = true;
		byte[] value = Integer.toString(size).getBytes(StandardCharsets.US_ASCII);
		this.store.write(this.key, this.position, value, StoreLease.none(this.position.era()))
			.whenComplete((written, failure) -> {
				if (failure == null) {
					logger.infof("event=fleet-size-recorded nodes=%d revision=%d", size, written.revision());
					this.callInProgress = false;
					this.position = written;
					this.allotments.fleetSizeRecorded(OptionalInt.of(size));
				}
				else {
					logger.debugf("event=fleet-size-not-recorded reason=\"%s\"", failure.getMessage());
					readAgain();
				}
			});
	}

	// Another node may have written the record, or a write without an answer this one.
	private void readAgain() {
		this.earliestCall = this.clock.getAsLong() + RETRY_DELAY;
		this.store.get(this.key).whenComplete((item, failure) -> {
			this.callInProgress = false;
			if (failure == null) {
				this.allotments.fleetSizeRecorded(read(item));
			}
		});
	}

}
