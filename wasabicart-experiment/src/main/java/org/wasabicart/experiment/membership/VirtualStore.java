package org.wasabicart.experiment.membership;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.wasabicart.core.model.Revision;
import org.wasabicart.store.LeaseId;
import org.wasabicart.store.StoreWatch;
import org.wasabicart.store.StoreWatchListener;
import org.wasabicart.store.StoredValue;
import org.wasabicart.store.SwapResult;

/**
 * Simulated key-value store in virtual time, with outages, lost responses and stale
 * reads.
 */
final class VirtualStore {

	private final VirtualTime time;

	private final SplittableRandom random;

	private final NavigableMap<String, StoredValue> values = new TreeMap<>();

	private final Map<String, Long> leaseOfKey = new HashMap<>();

	private final Map<Long, Long> leaseEnds = new HashMap<>();

	private final Map<Long, Duration> leaseDurations = new HashMap<>();

	private final List<StoredValue> history = new ArrayList<>();

	private final List<Watch> watches = new ArrayList<>();

	private long revision;

	private long lastLeaseId;

	private long calls;

	private boolean down;

	private double lostResponseShare;

	private double staleReadShare;

	VirtualStore(VirtualTime time, SplittableRandom random) {
		this.time = time;
		this.random = random;
	}

	VirtualTime time() {
		return this.time;
	}

	void setFaultShares(double lostResponseShare, double staleReadShare) {
		this.lostResponseShare = lostResponseShare;
		this.staleReadShare = staleReadShare;
	}

	void countCall() {
		this.calls++;
	}

	long calls() {
		return this.calls;
	}

	boolean isDown() {
		return this.down;
	}

	boolean losesResponse() {
		return this.random.nextDouble() < this.lostResponseShare;
	}

	// About half of the watches end with an error and the others deliver nothing more, as
	// in a real outage.
	void startOutage() {
		this.down = true;
		for (Watch watch : List.copyOf(this.watches)) {
			this.watches.remove(watch);
			if (this.random.nextBoolean()) {
				this.time.schedule(this.time.nanoseconds(),
						() -> watch.listener.ended(new IOException("The store is down")));
			}
		}
	}

	void recover() {
		this.down = false;
	}

	Optional<StoredValue> get(String key) {
		expireLeases();
		if (this.random.nextDouble() < this.staleReadShare) {
			List<StoredValue> older = historyOf(key);
			if (!older.isEmpty()) {
				return Optional.of(older.get(this.random.nextInt(older.size())));
			}
		}
		return Optional.ofNullable(this.values.get(key));
	}

	List<StoredValue> list(String prefix) {
		expireLeases();
		return List.copyOf(this.values.subMap(prefix, prefix + Character.MAX_VALUE).values());
	}

	SwapResult swap(String key, Revision expected, byte[] value, Optional<LeaseId> lease) {
		expireLeases();
		StoredValue current = this.values.get(key);
		long currentRevision = (current != null) ? current.revision().value() : 0;
		if (currentRevision != expected.value()) {
			return new SwapResult.Conflict(Optional.ofNullable(current));
		}
		this.revision++;
		StoredValue written = new StoredValue(key, value, new Revision(this.revision));
		this.values.put(key, written);
		this.history.add(written);
		lease.ifPresent((id) -> this.leaseOfKey.put(key, id.value()));
		for (Watch watch : List.copyOf(this.watches)) {
			if (watch.key.equals(key)) {
				watch.deliver(written);
			}
		}
		return new SwapResult.Swapped(written.revision());
	}

	LeaseId grant(Duration duration) {
		this.lastLeaseId++;
		this.leaseDurations.put(this.lastLeaseId, duration);
		this.leaseEnds.put(this.lastLeaseId, this.time.nanoseconds() + duration.toNanos());
		return new LeaseId(this.lastLeaseId);
	}

	Duration keepAlive(LeaseId lease) {
		expireLeases();
		Duration duration = this.leaseDurations.get(lease.value());
		if (duration == null) {
			return Duration.ZERO;
		}
		this.leaseEnds.put(lease.value(), this.time.nanoseconds() + duration.toNanos());
		return duration;
	}

	void revoke(LeaseId lease) {
		this.leaseEnds.remove(lease.value());
		this.leaseDurations.remove(lease.value());
		this.leaseOfKey.entrySet().removeIf((entry) -> {
			boolean revoked = entry.getValue() == lease.value();
			if (revoked) {
				this.values.remove(entry.getKey());
			}
			return revoked;
		});
	}

	private void expireLeases() {
		for (Map.Entry<Long, Long> entry : List.copyOf(this.leaseEnds.entrySet())) {
			if (this.time.nanoseconds() - entry.getValue() >= 0) {
				revoke(new LeaseId(entry.getKey()));
			}
		}
	}

	StoreWatch watch(String key, Revision after, StoreWatchListener listener) {
		Watch watch = new Watch(key, listener);
		this.watches.add(watch);
		StoredValue current = this.values.get(key);
		if (current != null && current.revision().compareTo(after) > 0) {
			watch.deliver(current);
		}
		return () -> this.watches.remove(watch);
	}

	int openWatches() {
		return this.watches.size();
	}

	List<StoredValue> historyOf(String key) {
		return this.history.stream().filter((value) -> value.key().equals(key)).toList();
	}

	private final class Watch {

		private static final long DELAY_NANOSECONDS = 3_000_000;

		private final String key;

		private final StoreWatchListener listener;

		private Watch(String key, StoreWatchListener listener) {
			this.key = key;
			this.listener = listener;
		}

		private void deliver(StoredValue value) {
			VirtualTime clock = VirtualStore.this.time;
			clock.schedule(clock.nanoseconds() + DELAY_NANOSECONDS, () -> {
				if (VirtualStore.this.watches.contains(this)) {
					this.listener.changed(value);
				}
			});
		}

	}

}
