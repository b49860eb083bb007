package org.wasabicart.core.admission;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

import org.wasabicart.core.model.Priority;
import org.wasabicart.core.model.TenantName;

/**
 * Queue that serves the highest importance first, within it nested calls before root
 * requests, and within those the tenants in proportion to their shares. Calls that are
 * removed out of order stay in the ordered collections until these are compacted.
 */
final class FairQueue implements CallQueue {

	/**
	 * Calls by which an ordered collection may exceed twice the queue size before it is
	 * compacted.
	 */
	private static final int COMPACTION_SLACK = 64;

	private final ToDoubleFunction<TenantName> share;

	/** Calls by priority class, which is an importance and whether calls are nested. */
	private final TreeMap<Integer, TenantQueues> classes = new TreeMap<>();

	private final Map<AdmissionListener, QueuedCall> byListener = new IdentityHashMap<>();

	private final PriorityQueue<QueuedCall> byExpiry = new PriorityQueue<>(
			Comparator.comparingLong(QueuedCall::expiryTime));

	private final Deque<QueuedCall> byArrival = new ArrayDeque<>();

	private long bytes;

	FairQueue(ToDoubleFunction<TenantName> share) {
		this.share = share;
	}

	@Override
	public void add(QueuedCall call, long capacityBytes, long now, Consumer<QueuedCall> dropped) {
		if (this.bytes + call.bytes() > capacityBytes) {
			expire(now, dropped);
		}
		while (this.bytes + call.bytes() > capacityBytes) {
			QueuedCall callToEvict = callToEvict(call);
			if (callToEvict == null) {
				dropped.accept(call);
				return;
			}
			remove(callToEvict);
			dropped.accept(callToEvict);
		}
		call.enqueued();
		this.bytes += call.bytes();
		this.byListener.put(call.listener(), call);
		this.byExpiry.add(call);
		this.byArrival.addLast(call);
		this.classes.computeIfAbsent(classOf(call), (key) -> new TenantQueues(this.share)).add(call);
	}

	// Returns the call to drop for the new call, or null to drop the new call itself.
	private QueuedCall callToEvict(QueuedCall newCall) {
		Map.Entry<Integer, TenantQueues> lowest = this.classes.firstEntry();
		if (lowest == null || lowest.getKey() > classOf(newCall)) {
			return null;
		}
		boolean sameClass = lowest.getKey() == classOf(newCall);
		return sameClass ? lowest.getValue().oldestIfOverShare(newCall) : lowest.getValue().oldestOfMostLoaded();
	}

	@Override
	public QueuedCall poll(long now, Consumer<QueuedCall> dropped) {
		expire(now, dropped);
		if (this.classes.isEmpty()) {
			return null;
		}
		TenantQueues tenants = this.classes.lastEntry().getValue();
		QueuedCall call = tenants.next(persistentOverload(now));
		unregister(call);
		tenants.removedNext(call);
		afterRemoval(call, tenants);
		return call;
	}

	// A call that waited for almost its whole queue time shows a persistent overload. The
	// oldest calls would pass their deadlines soon after they start, so the newest run
	// first.
	private boolean persistentOverload(long now) {
		QueuedCall oldest = oldest();
		return oldest != null && oldest.waitingNanoseconds(now) > oldest.queueTimeNanoseconds() / 10 * 9;
	}

	@Override
	public void expire(long now, Consumer<QueuedCall> dropped) {
		QueuedCall first = this.byExpiry.peek();
		while (first != null && (!first.queued() || first.expired(now))) {
			this.byExpiry.poll();
			if (first.queued()) {
				remove(first);
				dropped.accept(first);
			}
			first = this.byExpiry.peek();
		}
	}

	@Override
	public boolean remove(AdmissionListener listener) {
		QueuedCall call = this.byListener.get(listener);
		if (call != null) {
			remove(call);
		}
		return call != null;
	}

	private void remove(QueuedCall call) {
		TenantQueues tenants = this.classes.get(classOf(call));
		unregister(call);
		tenants.removed(call);
		afterRemoval(call, tenants);
	}

	private void unregister(QueuedCall call) {
		call.dequeued();
		this.bytes -= call.bytes();
		this.byListener.remove(call.listener());
	}

	private void afterRemoval(QueuedCall call, TenantQueues tenants) {
		if (tenants.isEmpty()) {
			this.classes.remove(classOf(call));
		}
		int maximumSize = 2 * size() + COMPACTION_SLACK;
		if (this.byExpiry.size() > maximumSize) {
			this.byExpiry.removeIf((other) -> !other.queued());
		}
		if (this.byArrival.size() > maximumSize) {
			this.byArrival.removeIf((other) -> !other.queued());
		}
	}

	private QueuedCall oldest() {
		while (!this.byArrival.isEmpty() && !this.byArrival.peekFirst().queued()) {
			this.byArrival.pollFirst();
		}
		return this.byArrival.peekFirst();
	}

	@Override
	public int sizeAtOrAbove(int priority) {
		int size = 0;
		for (TenantQueues tenants : this.classes.tailMap(priority / Priority.BUCKETS, true).values()) {
			size += tenants.size();
		}
		return size;
	}

	@Override
	public int size() {
		return this.byListener.size();
	}

	@Override
	public long bytes() {
		return this.bytes;
	}

	private static int classOf(QueuedCall call) {
		return call.priority() / Priority.BUCKETS;
	}

}
