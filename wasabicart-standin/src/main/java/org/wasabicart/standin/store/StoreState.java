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
 * Keys, leases, change history and watches of the store stand-in. Safe for use by several
 * threads.
 */
final class StoreState {

	// Bounds memory; a watch that starts further back misses the dropped changes.
	private static final int CHANGES_KEPT = 20_000;

	private final LongSupplier nanoseconds;

	private final TreeMap<String, KeyValue> keys = new TreeMap<>(KeyRange.ORDER);

	private final Map<Long, Lease> leases = new HashMap<>();

	private final Deque<KeyValue> changes = new ArrayDeque<>();

	private final Map<WatchListener, KeyRange> watches = new HashMap<>();

	private Map<String, KeyValue> frozen;

	private long revision = 1;

	private long lastLease = 7_000_000;

	StoreState(LongSupplier nanoseconds) {
		this.nanoseconds = nanoseconds;
	}

	synchronized long revision() {
		return this.revision;
	}

	synchronized void freezeReads(boolean freeze) {
		if (!freeze) {
			this.frozen = null;
		}
		else if (this.frozen == null) {
			this.frozen = new TreeMap<>(this.keys);
		}
	}

	synchronized List<KeyValue> range(KeyRange range) {
		return select((this.frozen != null) ? this.frozen : this.keys, range);
	}

	synchronized List<KeyValue> currentRange(KeyRange range) {
		return select(this.keys, range);
	}

	private List<KeyValue> select(Map<String, KeyValue> from, KeyRange range) {
		List<KeyValue> found = new ArrayList<>();
		for (KeyValue value : from.values()) {
			if (range.contains(value.key())) {
				found.add(value);
			}
		}
		return found;
	}

	synchronized KeyValue current(String key) {
		return this.keys.get(key);
	}

	synchronized boolean leaseExists(long lease) {
		return lease == 0 || this.leases.containsKey(lease);
	}

	/**
	 * Applies the writes of one transaction under one new revision.
	 * @param writes keys with values; a null value deletes the key
	 * @return the revision
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
		while (this.changes.size() > CHANGES_KEPT) {
			this.changes.removeFirst();
		}
		this.watches.forEach((listener, range) -> {
			List<KeyValue> seen = changed.stream().filter((change) -> range.contains(change.key())).toList();
			if (!seen.isEmpty()) {
				listener.changed(this.revision, seen);
			}
		});
	}

	synchronized void watch(KeyRange range, long startRevision, WatchListener listener) {
		if (startRevision > 0) {
			List<KeyValue> missed = this.changes.stream()
				.filter((change) -> change.modRevision() >= startRevision && range.contains(change.key()))
				.toList();
			if (!missed.isEmpty()) {
				listener.changed(this.revision, missed);
			}
		}
		this.watches.put(listener, range);
	}

	synchronized void unwatch(WatchListener listener) {
		this.watches.remove(listener);
	}

	synchronized long grant(long requestedId, long seconds) {
		long id = (requestedId != 0) ? requestedId : ++this.lastLease;
		this.leases.put(id, new Lease(seconds, this.nanoseconds.getAsLong()));
		return id;
	}

	/**
	 * Renews a lease.
	 * @param id lease
	 * @return its time to live in seconds, or zero if it has ended
	 */
	synchronized long keepAlive(long id) {
		expire();
		Lease lease = this.leases.get(id);
		if (lease == null) {
			return 0;
		}
		this.leases.put(id, new Lease(lease.seconds(), this.nanoseconds.getAsLong()));
		return lease.seconds();
	}

	synchronized boolean revoke(long id) {
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

	synchronized void expire() {
		long now = this.nanoseconds.getAsLong();
		List<Long> ended = new ArrayList<>();
		this.leases.forEach((id, lease) -> {
			if (now - lease.renewedNanoseconds() > Duration.ofSeconds(lease.seconds()).toNanos()) {
				ended.add(id);
			}
		});
		ended.forEach(this::revoke);
	}

	private record Lease(long seconds, long renewedNanoseconds) {

	}

	/**
	 * One write of a transaction.
	 *
	 * @param key key in Base64
	 * @param value value in Base64, or null to delete the key
	 * @param lease lease, or zero
	 */
	record Write(String key, String value, long lease) {

	}

}
