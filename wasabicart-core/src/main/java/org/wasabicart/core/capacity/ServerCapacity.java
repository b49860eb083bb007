package org.wasabicart.core.capacity;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * What the node beside one incarnation of a backend server has learned about its
 * capacity: the speed of its own work and the number of calls that it runs well at the
 * same time. Handles servers of different speed and steps in speed, and states which
 * changes the other nodes must learn of at once.
 */
public final class ServerCapacity {

	/** Factor between two expected times from which other nodes are told of a change. */
	private static final double NOTABLE_FACTOR = 1.5;

	/** Shortest time between two notices to the other nodes. */
	private static final long NOTICE_INTERVAL = TimeUnit.MILLISECONDS.toNanos(150);

	/** Time over which the calls that run or wait are averaged, in nanoseconds. */
	private static final double MEAN_USED_TIME = 300e6;

	private final ServerSpeed speed = new ServerSpeed();

	private final LearnedLimit learnedLimit = new LearnedLimit();

	private final DoubleSupplier typicalTime;

	private int slots;

	private int running;

	private double meanUsed;

	private long lastTick;

	private double noticedTime;

	private long noticeTime;

	private int limit;

	private CapacityChange lastChange;

	/**
	 * Creates a record without calls.
	 * @param slots slots that the server announces
	 * @param typicalTime expected time of a call at a typical server of the service in
	 * nanoseconds, or 0 if it is not known
	 * @param now current time in nanoseconds
	 */
	public ServerCapacity(int slots, DoubleSupplier typicalTime, long now) {
		this.typicalTime = Objects.requireNonNull(typicalTime, "typicalTime");
		this.slots = slots;
		this.limit = slots;
		this.noticeTime = now;
		this.lastTick = now;
		this.lastChange = new CapacityChange(CapacityChange.Reason.STARTED, slots, 1, 0, now);
	}

	/**
	 * Changes the number of announced slots.
	 * @param value slots
	 */
	public void slots(int value) {
		this.slots = value;
	}

	/**
	 * Records that the server has been given a call.
	 * @param route name of the route
	 * @param now current time in nanoseconds
	 * @return the call, for {@link #ended}
	 */
	public ServerSpeed.RunningCall started(String route, long now) {
		this.running++;
		return this.speed.started(route, now);
	}

	/**
	 * Records that a call has ended.
	 * @param call call
	 * @param outcome whether the server has done the work of the call
	 * @param now current time in nanoseconds
	 */
	public void ended(ServerSpeed.RunningCall call, ServerSpeed.Outcome outcome, long now) {
		double factor = this.speed.ended(call, outcome, now);
		if (this.speed.known()) {
			this.learnedLimit.record((double) this.running / this.slots, factor, this.speed.slowdown(), now);
		}
		this.running--;
	}

	/**
	 * Records that the server has made a nested call.
	 * @param now current time in nanoseconds
	 */
	public void nestedStarted(long now) {
		this.speed.nestedStarted(now);
	}

	/**
	 * Records that a nested call of the server has ended.
	 * @param now current time in nanoseconds
	 */
	public void nestedEnded(long now) {
		this.speed.nestedEnded(now);
	}

	/**
	 * Updates the limit and the last change. Must be invoked every 50 ms.
	 * @param used calls that run or wait
	 * @param now current time in nanoseconds
	 * @return whether the nodes of the region must be told of a change at once, since
	 * those that avoid this server get no replies
	 */
	public boolean tick(int used, long now) {
		this.meanUsed += (1 - Math.exp((this.lastTick - now) / MEAN_USED_TIME)) * (used - this.meanUsed);
		this.lastTick = now;
		this.speed.observe(now);
		if (!this.speed.known()) {
			return false;
		}
		int previous = this.limit;
		this.limit = this.learnedLimit.limit(this.slots, now);
		if (this.limit != previous) {
			change((this.limit < previous) ? CapacityChange.Reason.CROWDED : CapacityChange.Reason.LIMIT_RESTORED, now);
		}
		double time = this.speed.serviceTime();
		if (this.noticedTime == 0) {
			this.noticedTime = time;
			change(CapacityChange.Reason.LEARNED, now);
			return false;
		}
		boolean slower = time > NOTABLE_FACTOR * this.noticedTime;
		boolean faster = time < this.noticedTime / NOTABLE_FACTOR;
		if (!slower && !faster || now - this.noticeTime < NOTICE_INTERVAL) {
			return false;
		}
		this.noticedTime = time;
		this.noticeTime = now;
		change(slower ? CapacityChange.Reason.SLOWER : CapacityChange.Reason.FASTER, now);
		return true;
	}

	private void change(CapacityChange.Reason reason, long now) {
		this.lastChange = new CapacityChange(reason, this.limit, speed(), serviceTime(), now);
	}

	/**
	 * Returns the number of calls that the server runs well at the same time.
	 * @return the limit, 0 if nothing is known
	 */
	public int limit() {
		return this.speed.known() ? this.limit : 0;
	}

	/**
	 * Returns the speed relative to a typical server of the service.
	 * @return the speed, 0 if nothing is known
	 */
	public double speed() {
		double time = this.speed.serviceTime();
		double typical = this.typicalTime.getAsDouble();
		if (time <= 0) {
			return 0;
		}
		return (typical > 0) ? typical / time : 1 / this.speed.slowdown();
	}

	/**
	 * Returns the expected time for which a call holds a slot, at the current speed.
	 * @return the time in nanoseconds, 0 if nothing is known
	 */
	public long serviceTime() {
		return this.speed.serviceTime();
	}

	/**
	 * Returns the recent mean of the calls that run or wait.
	 * @return the mean
	 */
	public double meanUsed() {
		return this.meanUsed;
	}

	/**
	 * Returns the last change that matters.
	 * @return the change
	 */
	public CapacityChange lastChange() {
		return this.lastChange;
	}

}
