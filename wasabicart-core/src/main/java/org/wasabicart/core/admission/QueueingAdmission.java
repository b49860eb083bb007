package org.wasabicart.core.admission;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServicePolicy;
import org.wasabicart.core.retry.RetryHints;

/**
 * Admission controller that combines a concurrency limit, a queue and a priority
 * threshold.
 */
final class QueueingAdmission implements AdmissionController {

	/** Share of the limit up to which nested calls below the threshold run at once. */
	private static final double NESTED_CALL_SLOT_SHARE = 0.9;

	/** Ratio of the queue time to the target waiting time. */
	private static final int TARGET_WAIT_DIVISOR = 4;

	/**
	 * Fewest waiting calls for which the target waiting time suffices, as long as it
	 * stays within half of the queue time.
	 */
	private static final int MINIMUM_TARGET_CALLS = 4;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private final Object lock = new Object();

	private final Supplier<ServicePolicy> policy;

	private final ConcurrencyLimit concurrencyLimit;

	private final ThresholdControl thresholdControl;

	private final CallQueue queue;

	private final Ticker ticker;

	private final RetryHints retryHints;

	private final Set<Long> runningPermits = new HashSet<>();

	private int limit;

	private volatile int threshold;

	private long nextPermit;

	private final CapacityEstimate capacityEstimate;

	QueueingAdmission(Supplier<ServicePolicy> policy, int initialLimit, ConcurrencyLimit concurrencyLimit,
			ThresholdControl thresholdControl, CallQueue queue, Ticker ticker, RandomGenerator random) {
		this.policy = Objects.requireNonNull(policy, "policy");
		this.concurrencyLimit = concurrencyLimit;
		this.thresholdControl = thresholdControl;
		this.queue = queue;
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.retryHints = new RetryHints(random);
		this.limit = initialLimit;
		this.capacityEstimate = new CapacityEstimate(ticker.nanoseconds());
	}

	@Override
	public void offer(RequestContext context, long bytes, AdmissionListener listener) {
		Objects.requireNonNull(listener, "listener");
		if (bytes < 0) {
			throw new IllegalArgumentException("Bytes are negative: " + bytes);
		}
		PendingDecisions decisions = new PendingDecisions();
		synchronized (this.lock) {
			long now = this.ticker.nanoseconds();
			int priority = context.priority();
			this.thresholdControl.offered(priority, now);
			if (context.remainingNanoseconds(now) <= 0) {
				decisions.refused(listener, refusal(RefusalReason.EXPIRED));
			}
			else if (this.queue.size() == 0 && this.runningPermits.size() < this.limit
					&& canRunNow(context, priority)) {
				decisions.admitted(listener, admit(now));
			}
			else if (priority < this.threshold && context.depth() == 0) {
				decisions.refused(listener, refusal(RefusalReason.OVERLOADED));
			}
			else {
				enqueue(context, priority, bytes, now, listener, decisions);
			}
		}
		decisions.notifyListeners();
	}

	// Refusing a nested call would waste the work already done for its root request.
	private boolean canRunNow(RequestContext context, int priority) {
		boolean slotFreeForNested = context.depth() > 0
				&& this.runningPermits.size() < NESTED_CALL_SLOT_SHARE * this.limit;
		return slotFreeForNested || priority >= this.threshold;
	}

	private void enqueue(RequestContext context, int priority, long bytes, long now, AdmissionListener listener,
			PendingDecisions decisions) {
		ServicePolicy currentPolicy = this.policy.get();
		long queueTimeNanoseconds = currentPolicy.queueTime().toNanos();
		QueuedCall call = new QueuedCall(context, priority, bytes, now, queueTimeNanoseconds, listener);
		this.queue.add(call, currentPolicy.queueBytes(), now, (dropped) -> drop(dropped, now, decisions));
		admitQueued(now, decisions);
	}

	@Override
	public boolean withdraw(AdmissionListener listener) {
		synchronized (this.lock) {
			return this.queue.remove(listener);
		}
	}

	@Override
	public void finished(AdmissionPermit permit, CallSample sample) {
		PendingDecisions decisions = new PendingDecisions();
		synchronized (this.lock) {
			if (!this.runningPermits.remove(permit.number())) {
				return;
			}
			long now = this.ticker.nanoseconds();
			this.capacityEstimate.recordFinish(now - permit.startNanoseconds(), this.limit, now);
			int ceiling = this.policy.get().ceiling();
			LimitSample limitSample = new LimitSample(now, sample, permit, this.queue.size() > 0, ceiling);
			this.limit = clamp(this.concurrencyLimit.update(limitSample), ceiling);
			admitQueued(now, decisions);
		}
		decisions.notifyListeners();
	}

	@Override
	public void tick() {
		PendingDecisions decisions = new PendingDecisions();
		synchronized (this.lock) {
			long now = this.ticker.nanoseconds();
			ServicePolicy currentPolicy = this.policy.get();
			this.limit = clamp(this.limit, currentPolicy.ceiling());
			this.queue.expire(now, (dropped) -> drop(dropped, now, decisions));
			admitQueued(now, decisions);
			if (this.capacityEstimate.known()) {
				double perSecond = this.capacityEstimate.perSecond(this.limit, this.runningPermits.size(), now);
				long targetNanoseconds = targetNanoseconds(currentPolicy, perSecond);
				long waitNanoseconds = (long) (this.queue.size() * NANOSECONDS_PER_SECOND / perSecond);
				this.threshold = this.thresholdControl.update(new ThresholdInput(now, perSecond, waitNanoseconds,
						targetNanoseconds, this.queue::sizeAtOrAbove));
			}
		}
		decisions.notifyListeners();
	}

	// A slow server also needs several waiting calls to keep its slots busy.
	private static long targetNanoseconds(ServicePolicy policy, double perSecond) {
		long queueTimeNanoseconds = policy.queueTime().toNanos();
		double minimumTargetNanoseconds = Math.min(queueTimeNanoseconds / 2.0,
				MINIMUM_TARGET_CALLS * NANOSECONDS_PER_SECOND / perSecond);
		return (long) Math.max(1, Math.max(queueTimeNanoseconds / TARGET_WAIT_DIVISOR, minimumTargetNanoseconds));
	}

	private void admitQueued(long now, PendingDecisions decisions) {
		while (this.runningPermits.size() < this.limit && this.queue.size() > 0) {
			QueuedCall call = this.queue.poll(now, (dropped) -> drop(dropped, now, decisions));
			if (call == null) {
				return;
			}
			decisions.admitted(call.listener(), admit(now));
		}
	}

	private AdmissionPermit admit(long now) {
		long number = this.nextPermit++;
		this.runningPermits.add(number);
		return new AdmissionPermit(number, now, this.limit, this.runningPermits.size());
	}

	private void drop(QueuedCall call, long now, PendingDecisions decisions) {
		RefusalReason reason = call.deadlinePassed(now) ? RefusalReason.EXPIRED : RefusalReason.QUEUE_FULL;
		decisions.refused(call.listener(), refusal(reason));
	}

	private Outcome.Refused refusal(RefusalReason reason) {
		return this.retryHints.refuse(reason, this.thresholdControl.loadRatio());
	}

	private static int clamp(int limit, int ceiling) {
		return Math.max(1, Math.min(limit, ceiling));
	}

	@Override
	public int threshold() {
		return this.threshold;
	}

	@Override
	public AdmissionStatus status() {
		synchronized (this.lock) {
			int ceiling = this.policy.get().ceiling();
			return new AdmissionStatus(this.limit, ceiling, this.runningPermits.size(), this.queue.size(),
					this.queue.bytes(), this.threshold);
		}
	}

}
