package org.wasabicart.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;

import org.wasabicart.core.model.TenantName;

/**
 * Calls of one importance by tenant, served by start-time fair queueing: each call moves
 * its tenant's virtual time forward by the inverse of the tenant's share, and the tenant
 * with the lowest virtual time is served next.
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
	 * Returns the next call, which stays queued until {@link #removedNext}.
	 * @param newestFirst whether the tenant's newest call is next, instead of its oldest
	 * @return the call
	 */
	QueuedCall next(boolean newestFirst) {
		TenantQueue tenant = this.byVirtualTime.poll();
		this.virtualTime = tenant.virtualTime();
		QueuedCall call = newestFirst ? tenant.newest() : tenant.oldest();
		tenant.advance(1 / this.share.applyAsDouble(call.context().tenant()));
		// Removal from the heap is linear, so a tenant's last call is not put back.
		if (tenant.size() > 1) {
			this.byVirtualTime.add(tenant);
		}
		return call;
	}

	/**
	 * Removes the call that {@link #next} has returned.
	 * @param call call
	 */
	void removedNext(QueuedCall call) {
		this.tenants.get(call.context().tenant()).removed(call);
		this.size--;
		forgetIdle();
	}

	void removed(QueuedCall call) {
		TenantQueue tenant = this.tenants.get(call.context().tenant());
		tenant.removed(call);
		this.size--;
		if (tenant.isEmpty()) {
			this.byVirtualTime.remove(tenant);
			forgetIdle();
		}
	}

	/** An idle tenant is remembered while it is ahead of its share. */
	private void forgetIdle() {
		if (this.tenants.size() > 2 * this.byVirtualTime.size() + 16) {
			this.tenants.values().removeIf((tenant) -> tenant.isEmpty() && tenant.virtualTime() <= this.virtualTime);
		}
	}

	QueuedCall oldestOfLargest() {
		return largest().getValue().oldest();
	}

	/**
	 * Returns the oldest call of the tenant with the most queued bytes for its share, if
	 * that tenant stays ahead of the newcomer's.
	 * @param newcomer call that needs room
	 * @return the call, or null
	 */
	QueuedCall oldestOverShare(QueuedCall newcomer) {
		Map.Entry<TenantName, TenantQueue> largest = largest();
		TenantName name = newcomer.context().tenant();
		TenantQueue own = this.tenants.get(name);
		long ownBytes = ((own != null) ? own.bytes() : 0) + newcomer.bytes();
		double ownLoad = ownBytes / this.share.applyAsDouble(name);
		return (load(largest) > ownLoad) ? largest.getValue().oldest() : null;
	}

	private Map.Entry<TenantName, TenantQueue> largest() {
		Map.Entry<TenantName, TenantQueue> largest = null;
		for (Map.Entry<TenantName, TenantQueue> tenant : this.tenants.entrySet()) {
			if (!tenant.getValue().isEmpty() && (largest == null || load(tenant) > load(largest))) {
				largest = tenant;
			}
		}
		return largest;
	}

	private double load(Map.Entry<TenantName, TenantQueue> tenant) {
		return tenant.getValue().bytes() / this.share.applyAsDouble(tenant.getKey());
	}

}
