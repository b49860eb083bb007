package org.wasabicart.core.mesh;

import java.util.Objects;

/**
 * Assigns the slots of one backend server, and the requests per second that it accepts,
 * to calls in the order of a {@link GateQueue}, and refuses calls that would start too
 * late. Handles demand beyond the capacity of one server: a call that cannot start in
 * time is refused immediately, before any work is done.
 */
public final class SlotGate {

	/**
	 * Share of the slots that is used. Some servers slow down when nearly full, and new
	 * connections hold a slot briefly.
	 */
	static final double USED_SHARE = 0.94;

	/** Assumed mean service time before the first call has ended, in nanoseconds. */
	private static final double INITIAL_SERVICE_TIME = 20e6;

	/** Weight of the newest call; averages over about the last 50 calls. */
	private static final double SERVICE_TIME_WEIGHT = 0.02;

	private final GateQueue waiting;

	private final RequestRateLimiter rateLimiter = new RequestRateLimiter();

	private final RequestRate admittedRate = new RequestRate();

	private int slots;

	private int learnedLimit = Integer.MAX_VALUE;

	private int limit;

	private int running;

	private long nextSequence;

	private double serviceTime = INITIAL_SERVICE_TIME;

	/**
	 * Creates a gate that orders calls by priority, then by the earliest latest start.
	 * @param slots requests that the server runs at the same time
	 */
	public SlotGate(int slots) {
		this(slots, new DeadlineQueue());
	}

	/**
	 * Creates a gate.
	 * @param slots requests that the server runs at the same time
	 * @param waiting empty queue for the calls that wait
	 */
	public SlotGate(int slots, GateQueue waiting) {
		this.waiting = Objects.requireNonNull(waiting, "waiting");
		slots(slots);
	}

	/**
	 * Changes the number of slots.
	 * @param slots requests that the server runs at the same time
	 */
	public void slots(int slots) {
		this.slots = slots;
		updateLimit();
	}

	/**
	 * Changes the number of calls that the server was found to run well at the same time.
	 * It never raises the limit above the used share of the slots.
	 * @param value number of calls
	 */
	public void learnedLimit(int value) {
		this.learnedLimit = value;
		updateLimit();
	}

	private void updateLimit() {
		this.limit = Math.max(1, Math.min(this.learnedLimit, (int) (this.slots * USED_SHARE)));
	}

	/**
	 * Changes the rate up to which the server accepts requests from all nodes together.
	 * @param limit rate limit
	 * @param now current time in nanoseconds
	 */
	public void rateLimit(RateLimit limit, long now) {
		this.rateLimiter.limit(limit, now);
	}

	/**
	 * Returns the rate up to which the server accepts requests.
	 * @return the rate limit
	 */
	public RateLimit rateLimit() {
		return this.rateLimiter.limit();
	}

	/**
	 * Returns the rate of the admitted calls.
	 * @param now current time in nanoseconds
	 * @return the calls per second
	 */
	public double admittedPerSecond(long now) {
		return this.admittedRate.requestsPerSecond(now);
	}

	/**
	 * Returns the largest number of calls that run at the same time.
	 * @return the limit
	 */
	public int limit() {
		return this.limit;
	}

	/**
	 * Returns the mean time for which a call holds its slot.
	 * @return the time in nanoseconds
	 */
	public long serviceTime() {
		return (long) this.serviceTime;
	}

	/**
	 * Returns the calls per second that the server can run.
	 * @return the calls per second, limited by the slots or by the rate limit
	 */
	public double capacityPerSecond() {
		return Math.min(this.limit * 1e9 / Math.max(1, this.serviceTime), rateLimit().requestsPerSecond());
	}

	/**
	 * Returns whether a call can run at once.
	 * @return whether a slot is free and no call waits
	 */
	public boolean hasRoom() {
		return this.running < this.limit && this.waiting.isEmpty();
	}

	/**
	 * Returns the number of calls that hold a slot.
	 * @return the number
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns the number of calls that wait.
	 * @return the number
	 */
	public int waiting() {
		return this.waiting.size();
	}

	/**
	 * Admits, queues or refuses a call. The listener may be invoked before this returns.
	 * @param entry call
	 * @param now current time in nanoseconds
	 */
	public void offer(GateEntry entry, long now) {
		entry.sequence(this.nextSequence++);
		if (this.running < this.limit && this.waiting.isEmpty() && this.rateLimiter.tryAcquire(now)) {
			admit(entry, now);
			return;
		}
		long position = this.waiting.position(entry, now);
		if (now + this.rateLimiter.delay(position, now) - entry.latestStart() > 0) {
			entry.listener().refused(GateRefusal.RATE_LIMITED);
			return;
		}
		double slotWait = position * this.serviceTime / this.limit;
		if (now + (long) slotWait - entry.latestStart() > 0) {
			entry.listener().refused(GateRefusal.OVERLOADED);
			return;
		}
		this.waiting.add(entry, now);
	}

	/**
	 * Returns the time after which {@link #expire} may admit a waiting call that the rate
	 * limit holds back.
	 * @param now current time in nanoseconds
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} if no call waits for the
	 * rate limit
	 */
	public long admissionDelay(long now) {
		boolean rateLimited = !this.waiting.isEmpty() && this.running < this.limit;
		return rateLimited ? this.rateLimiter.delay(1, now) : Long.MAX_VALUE;
	}

	/**
	 * Releases the slot of a call and admits waiting calls.
	 * @param heldTime time in the slot in nanoseconds, or a negative number to leave it
	 * out of the mean service time
	 * @param now current time in nanoseconds
	 */
	public void finished(long heldTime, long now) {
		this.running--;
		if (heldTime >= 0) {
			this.serviceTime += SERVICE_TIME_WEIGHT * (heldTime - this.serviceTime);
		}
		admitWaiting(now);
	}

	/**
	 * Removes a waiting call without a decision.
	 * @param entry call
	 * @return whether the call was waiting
	 */
	public boolean withdraw(GateEntry entry) {
		return this.waiting.remove(entry);
	}

	/**
	 * Refuses waiting calls whose latest start has passed.
	 * @param now current time in nanoseconds
	 */
	public void expire(long now) {
		this.waiting.removeExpired(now).forEach((entry) -> entry.listener().refused(lateStartRefusal()));
		admitWaiting(now);
	}

	/**
	 * Refuses all waiting calls.
	 * @param refusal reason
	 */
	public void refuseWaiting(GateRefusal refusal) {
		this.waiting.clear().forEach((entry) -> entry.listener().refused(refusal));
	}

	private GateRefusal lateStartRefusal() {
		boolean slotFree = this.running < this.limit;
		return (slotFree && rateLimit().limited()) ? GateRefusal.RATE_LIMITED : GateRefusal.OVERLOADED;
	}

	private void admitWaiting(long now) {
		while (this.running < this.limit && !this.waiting.isEmpty()) {
			GateEntry first = this.waiting.first(now);
			if (now - first.latestStart() > 0) {
				this.waiting.remove(first);
				first.listener().refused(lateStartRefusal());
			}
			else if (this.rateLimiter.tryAcquire(now)) {
				this.waiting.admitted(first);
				admit(first, now);
			}
			else {
				return;
			}
		}
	}

	private void admit(GateEntry entry, long now) {
		this.running++;
		this.admittedRate.record(now);
		entry.listener().admitted();
	}

}
