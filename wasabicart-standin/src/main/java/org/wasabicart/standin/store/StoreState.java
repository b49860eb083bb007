package org.wasabicart.standin.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Keys, leases, change history and watches of the store stand-in. Thread-safe.
 */
final class StoreState {

	// Bounds memory; a watch that starts at an older revision misses the dropped changes.
	private static final int MAXIMUM_RETAINED_CHANGES = 20_000;

	private final LongSupplier nanosecondClock;

	private final TreeMap<String, KeyValue> keys = new TreeMap<>(KeyRange.KEY_ORDER);

	private final Map<Long, Lease> leases = new HashMap<>();

	private final Deque<KeyValue> changes = new ArrayDeque<>();

	private final Map<WatchListener, KeyRange> watches = new HashMap<>();

	private Map<String, KeyValue> staleKeys;

	private long revision = 1;

	private long lastLeaseId = 7_000_000;

	StoreState(LongSupplier nanosecondClock) {
		this.nanosecondClock = nanosecondClock;
	}

	synchronized long revision() {
		return this.revision;
	}

	synchronized void serveStaleReads(boolean stale) {
		if (!stale) {
			this.staleKeys = null;
		}
		else if (this.staleKeys == null) {
			this.staleKeys = new TreeMap<>(this.keys);
		}
	}

	synchronized List<KeyValue> read(KeyRange range) {
		return keysInRange((this.staleKeys != null) ? this.staleKeys : this.keys, range);
	}

	synchronized List<KeyValue> readCurrent(KeyRange range) {
		return keysInRange(this.keys, range);
	}

	private List<KeyValue> keysInRange(Map<String, KeyValue> from, KeyRange range) {
		List<KeyValue> found = new ArrayList<>();
		for (KeyValue value : from.values()) {
			if (range.contains(value.key())) {
				found.add(value);
			}
		}
		return found;
	}

	synchronized KeyValue currentValue(String key) {
		return this.keys.get(key);
	}

	synchronized boolean isZeroOrExistingLease(long lease) {
		return lease == 0 || this.leases.containsKey(lease);
	}

	/**
	 * Applies the writes of one transaction at a single new revision.
	 * @param writes keys with values; a null value deletes the key
	 * @return the new revision, or the current one if nothing changed
	 */
	synchronized long write(List<Write> writes) {
		List<KeyValue> changed = new ArrayList<>();
		long next = this.revision + 1;
		for (Write write : writes) {
			KeyValue old = this.keys.get(write.key());
			if (write.value() == null && old != null) {
				this.keys.remove(write.key());
				changed.add(new KeyValue(write.key(), "", 0, next, 0, 0));
			}
			else if (write.value() != null) {
				long created = (old != null) ? old.createRevision() : next;
				long version = (old != null) ? old.version() + 1 : 1;
				KeyValue value = new KeyValue(write.key(), write.value(), created, next, version, write.lease());
				this.keys.put(write.key(), value);
				changed.add(value);
			}
		}
		if (!changed.isEmpty()) {
			this.revision = next;
			publish(changed);
		}
		return this.revision;
	}

	private void publish(List<KeyValue> changed) {
		this.changes.addAll(changed);
		while (this.changes.size() > MAXIMUM_RETAINED_CHANGES) {
			this.changes.removeFirst();
		}
		this.watches.forEach((listener, range) -> {
			List<KeyValue> covered = changed.stream().filter((change) -> range.contains(change.key())).toList();
			if (!covered.isEmpty()) {
				listener.changed(this.revision, covered);
			}
		});
	}

	synchronized void watch(KeyRange range, long startRevision, WatchListener listener) {
		if (startRevision > 0) {
			List<KeyValue> earlier = this.changes.stream()
				.filter((change) -> change.modRevision() >= startRevision && range.contains(change.key()))
				.toList();
			if (!earlier.isEmpty()) {
				listener.changed(this.revision, earlier);
			}
		}
		this.watches.put(listener, range);
	}

	synchronized void unwatch(WatchListener listener) {
		this.watches.remove(listener);
	}

	synchronized long grantLease(long requestedId, long seconds) {
		long id = (requestedId != 0) ? requestedId : ++this.lastLeaseId;
		this.leases.put(id, new Lease(seconds, this.nanosecondClock.getAsLong()));
		return id;
	}

	/**
	 * Renews a lease.
	 * @param id lease id
	 * @return its time to live in seconds, or zero if it does not exist
	 */
	synchronized long renewLease(long id) {
		expireLeases();
		Lease lease = this.leases.get(id);
		if (lease == null) {
			return 0;
		}
		this.leases.put(id, new Lease(lease.seconds(), this.nanosecondClock.getAsLong()));
		return lease.seconds();
	}

	synchronized boolean revokeLease(long id) {
		if (this.leases.remove(id) == null) {
			return false;
		}
		List<Write> deletions = this.keys.values()
			.stream()
			.filter((value) -> value.lease() == id)
			.map((value) -> new Write(value.key(), null, 0))
			.toList();
		write(deletions);
		return true;
	}

	synchronized void expireLeases() {
		long now = this.nanosecondClock.getAsLong();
		List<Long> expired = new ArrayList<>();
		this.leases.forEach((id, lease) -> {
			if (now - lease.renewedNanoseconds() > Duration.ofSeconds(lease.seconds()).toNanos()) {
				expired.add(id);
			}
		});
		expired.forEach(this::revokeLease);
	}

	private record Lease(long seconds, long renewedNanoseconds) {

	}

	/**
	 * One write of a transaction.
	 *
	 * @param key key in Base64
	 * @param value value in Base64, or null to delete the key
	 * @param lease lease id, or zero
	 */
	record Write(String key, String value, long lease) {

	}

}
