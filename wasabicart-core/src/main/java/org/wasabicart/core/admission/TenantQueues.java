package org.wasabicart.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;

import org.wasabicart.core.model.TenantName;

/**
 * Queued calls of one priority class by tenant, served by start-time fair queueing: each
 * call advances its tenant's virtual time by the inverse of the tenant's share, and the
 * tenant with the lowest virtual time is served next.
 */
final class TenantQueues {

	private final ToDoubleFunction<TenantName> share;

	private final Map<TenantName, TenantQueue> tenants = new HashMap<>();

	private final PriorityQueue<TenantQueue> byVirtualTime = new PriorityQueue<>(
			Comparator.comparingDouble(TenantQueue::virtualTime));

	private double virtualTime;

	private int size;

	TenantQueues(ToDoubleFunction<TenantName> share) {
		this.share = share;
	}

	boolean isEmpty() {
		return this.size == 0;
	}

	int size() {
		return this.size;
	}

	void add(QueuedCall call) {
		TenantQueue tenant = this.tenants.computeIfAbsent(call.context().tenant(), (name) -> new TenantQueue());
		if (tenant.isEmpty()) {
			tenant.startAt(this.virtualTime);
			this.byVirtualTime.add(tenant);
		}
		tenant.add(call);
		this.size++;
	}

	/**
	 * Selects the next call and advances its tenant's virtual time. The call stays queued
	 * until {@link #removedNext}.
	 * @param newestFirst whether the tenant's newest call is next, instead of its oldest
	 * @return the call
	 */
	QueuedCall next(boolean newestFirst) {
		TenantQueue tenant = this.byVirtualTime.poll();
		this.virtualTime = tenant.virtualTime();
		QueuedCall call = newestFirst ? tenant.newest() : tenant.oldest();
		tenant.advance(1 / this.share.applyAsDouble(call.context().tenant()));
		// A tenant without further calls is not put back, since removing it from the heap
		// afterwards would take linear time.
		if (tenant.size() > 1) {
			this.byVirtualTime.add(tenant);
		}
		return call;
	}

	/**
	 * Removes the call that {@link #next} returned.
	 * @param call call
	 */
	void removedNext(QueuedCall call) {
		this.tenants.get(call.context().tenant()).removed(call);
		this.size--;
		removeIdleTenants();
	}

	void removed(QueuedCall call) {
		TenantQueue tenant = this.tenants.get(call.context().tenant());
		tenant.removed(call);
		this.size--;
		if (tenant.isEmpty()) {
			this.byVirtualTime.remove(tenant);
			removeIdleTenants();
		}
	}

	/**
	 * Removes idle tenants once there are many, except those that were served more than
	 * their share.
	 */
	private void removeIdleTenants() {
		if (this.tenants.size() > 2 * this.byVirtualTime.size() + 16) {
			this.tenants.values().removeIf((tenant) -> tenant.isEmpty() && tenant.virtualTime() <= this.virtualTime);
		}
	}

	QueuedCall oldestOfMostLoaded() {
		return mostLoaded().getValue().oldest();
	}

	/**
	 * Returns the oldest call of the tenant with the most queued bytes relative to its
	 * share, if that is more than the new call's tenant would have with the new call.
	 * @param newCall call to be added
	 * @return the call, or null if no tenant has more
	 */
	QueuedCall oldestIfOverShare(QueuedCall newCall) {
		Map.Entry<TenantName, TenantQueue> mostLoaded = mostLoaded();
		TenantName name = newCall.context().tenant();
		TenantQueue own = this.tenants.get(name);
		long ownBytes = ((own != null) ? own.bytes() : 0) + newCall.bytes();
		double ownBytesPerShare = ownBytes / this.share.applyAsDouble(name);
		return (bytesPerShare(mostLoaded) > ownBytesPerShare) ? mostLoaded.getValue().oldest() : null;
	}

	private Map.Entry<TenantName, TenantQueue> mostLoaded() {
		Map.Entry<TenantName, TenantQueue> mostLoaded = null;
		for (Map.Entry<TenantName, TenantQueue> tenant : this.tenants.entrySet()) {
			if (!tenant.getValue().isEmpty()
					&& (mostLoaded == null || bytesPerShare(tenant) > bytesPerShare(mostLoaded))) {
				mostLoaded = tenant;
			}
		}
		return mostLoaded;
	}

	private double bytesPerShare(Map.Entry<TenantName, TenantQueue> tenant) {
		return tenant.getValue().bytes() / this.share.applyAsDouble(tenant.getKey());
	}

}
