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
 * Admission with a concurrency limit, a queue and a priority threshold, each of which is
 * a separate object.
 */
final class QueueingAdmission implements AdmissionController {

	/** Share of the slots up to which nested calls below the threshold still run. */
	private static final double SPARE_SHARE = 0.9;

	/** Part of the queue time above which the threshold cuts below the capacity. */
	private static final int TARGET_WAIT_DIVISOR = 4;

	/** Waiting calls that are allowed at least, within half of the queue time. */
	private static final int TARGET_CALLS = 4;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private final Object lock = new Object();

	private final Supplier<ServicePolicy> policy;

	private final ConcurrencyLimit concurrencyLimit;

	private final ThresholdControl thresholdControl;

	private final CallQueue queue;

	private final Ticker ticker;

	private final RetryHints hints;

	private final Set<Long> running = new HashSet<>();

	private int limit;

	private volatile int threshold;

	private long nextPermit;

	private final CapacityEstimate capacity;

	QueueingAdmission(Supplier<ServicePolicy> policy, int initialLimit, ConcurrencyLimit concurrencyLimit,
			ThresholdControl thresholdControl, CallQueue queue, Ticker ticker, RandomGenerator random) {
		this.policy = Objects.requireNonNull(policy, "policy");
		this.concurrencyLimit = concurrencyLimit;
		this.thresholdControl = thresholdControl;
		this.queue = queue;
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.hints = new RetryHints(random);
		this.limit = initialLimit;
		this.capacity = new CapacityEstimate(ticker.nanoseconds());
	}

	@Override
	public void offer(RequestContext context, long bytes, AdmissionListener listener) {
		Objects.requireNonNull(listener, "listener");
		if (bytes < 0) {
			throw new IllegalArgumentException("Bytes are negative: " + bytes);
		}
		Decisions decisions = new Decisions();
		synchronized (this.lock) {
			long now = this.ticker.nanoseconds();
			int priority = context.priority();
			this.thresholdControl.offered(priority, now);
			if (context.remainingNanoseconds(now) <= 0) {
				decisions.refused(listener, refuse(RefusalReason.EXPIRED));
			}
			else if (this.queue.size() == 0 && this.running.size() < this.limit && mayRun(context, priority)) {
				decisions.admitted(listener, admit(now));
			}
			else if (priority < this.threshold && context.depth() == 0) {
				decisions.refused(listener, refuse(RefusalReason.OVERLOADED));
			}
			else {
				enqueue(context, priority, bytes, now, listener, decisions);
			}
		}
		decisions.announce();
	}

	// A nested call belongs to a running chain, whose work a refusal would waste.
	private boolean mayRun(RequestContext context, int priority) {
		boolean spare = context.depth() > 0 && this.running.size() < SPARE_SHARE * this.limit;
		return spare || priority >= this.threshold;
	}

	private void enqueue(RequestContext context, int priority, long bytes, long now, AdmissionListener listener,
			Decisions decisions) {
		ServicePolicy current = this.policy.get();
		long queueTime = current.queueTime().toNanos();
		QueuedCall call = new QueuedCall(context, priority, bytes, now, queueTime, listener);
		this.queue.add(call, current.queueBytes(), now, (dropped) -> drop(dropped, now, decisions));
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
		Decisions decisions = new Decisions();
		synchronized (this.lock) {
			if (!this.running.remove(permit.number())) {
				return;
			}
			long now = this.ticker.nanoseconds();
			this.capacity.ended(now - permit.startNanoseconds(), this.limit, now);
			int ceiling = this.policy.get().ceiling();
			LimitSample limitSample = new LimitSample(now, sample, permit, this.queue.size() > 0, ceiling);
			this.limit = clamp(this.concurrencyLimit.update(limitSample), ceiling);
			admitQueued(now, decisions);
		}
		decisions.announce();
	}

	@Override
	public void tick() {
		Decisions decisions = new Decisions();
		synchronized (this.lock) {
			long now = this.ticker.nanoseconds();
			ServicePolicy current = this.policy.get();
			this.limit = clamp(this.limit, current.ceiling());
			this.queue.expire(now, (dropped) -> drop(dropped, now, decisions));
			admitQueued(now, decisions);
			if (this.capacity.known()) {
				double perSecond = this.capacity.perSecond(this.limit, this.running.size(), now);
				long target = target(current, perSecond);
				long wait = (long) (this.queue.size() * NANOSECONDS_PER_SECOND / perSecond);
				this.threshold = this.thresholdControl
					.update(new ThresholdInput(now, perSecond, wait, target, this.queue::sizeFrom));
			}
		}
		decisions.announce();
	}

	// A slow server needs several waiting calls as well to keep its slots busy.
	private static long target(ServicePolicy policy, double perSecond) {
		long queueTime = policy.queueTime().toNanos();
		double fewCalls = Math.min(queueTime / 2.0, TARGET_CALLS * NANOSECONDS_PER_SECOND / perSecond);
		return (long) Math.max(1, Math.max(queueTime / TARGET_WAIT_DIVISOR, fewCalls));
	}

	private void admitQueued(long now, Decisions decisions) {
		while (this.running.size() < this.limit && this.queue.size() > 0) {
			QueuedCall call = this.queue.poll(now, (dropped) -> drop(dropped, now, decisions));
			if (call == null) {
				return;
			}
			decisions.admitted(call.listener(), admit(now));
		}
	}

	private AdmissionPermit admit(long now) {
		long number = this.nextPermit++;
		this.running.add(number);
		return new AdmissionPermit(number, now, this.limit, this.running.size());
	}

	private void drop(QueuedCall call, long now, Decisions decisions) {
		RefusalReason reason = call.deadlinePassed(now) ? RefusalReason.EXPIRED : RefusalReason.QUEUE_FULL;
		decisions.refused(call.listener(), refuse(reason));
	}

	private Outcome.Refused refuse(RefusalReason reason) {
		return this.hints.refuse(reason, this.thresholdControl.loadRatio());
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
			return new AdmissionStatus(this.limit, ceiling, this.running.size(), this.queue.size(), this.queue.bytes(),
					this.threshold);
		}
	}

}
