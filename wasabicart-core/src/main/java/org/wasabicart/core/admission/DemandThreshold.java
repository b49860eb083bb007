package org.wasabicart.core.admission;

import java.time.Duration;

/**
 * Threshold that fits the offered demand to the capacity. It rises at once to where the
 * observed demand fits. It falls in steps, since entry nodes refuse calls below it and so
 * hide that demand: each step releases at most the spare capacity by the demand that was
 * last seen there, and the largest step doubles while capacity stays spare.
 */
final class DemandThreshold implements ThresholdControl {

	/** Half-life of the demand that the threshold rises by. */
	static final long DEMAND_HALF_LIFE = Duration.ofMillis(150).toNanos();

	/** Half-life of the demand that is remembered below the threshold. */
	static final long MEMORY_HALF_LIFE = Duration.ofSeconds(3).toNanos();

	/** Interval between two rises. */
	static final long RISE_INTERVAL = Duration.ofMillis(20).toNanos();

	/** Interval between two falls, long enough for answers to carry the threshold. */
	static final long FALL_INTERVAL = Duration.ofMillis(50).toNanos();

	/** First step of a fall, in priorities. */
	static final int FIRST_STEP = 16;

	/** Least share of the capacity that a step releases. */
	private static final double RELEASED_SHARE = 0.05;

	/** Least share of the capacity that a long queue leaves. */
	private static final double DRAIN_FLOOR = 0.7;

	/** Cut of the capacity share for each multiple of the target waiting time. */
	private static final double DRAIN_GAIN = 0.2;

	private final DemandHistogram demand;

	private final DemandHistogram memory;

	private int threshold;

	private int step = FIRST_STEP;

	private long lastRise;

	private long lastFall;

	private double loadRatio = 1;

	DemandThreshold(long now) {
		this.demand = new DemandHistogram(DEMAND_HALF_LIFE, now);
		this.memory = new DemandHistogram(MEMORY_HALF_LIFE, now);
		this.lastRise = now;
		this.lastFall = now;
	}

	@Override
	public void offered(int priority, long nowNanoseconds) {
		this.demand.add(priority, nowNanoseconds);
		this.memory.add(priority, nowNanoseconds);
	}

	@Override
	public int update(ThresholdInput load) {
		long now = load.nowNanoseconds();
		if (load.queueNanoseconds() > 0) {
			this.step = FIRST_STEP;
			if (now - this.lastRise >= RISE_INTERVAL) {
				this.lastRise = now;
				rise(load);
			}
		}
		else if (load.spare() && now - this.lastFall >= FALL_INTERVAL) {
			this.lastFall = now;
			fall(load);
		}
		return this.threshold;
	}

	@Override
	public double loadRatio() {
		return this.loadRatio;
	}

	private void rise(ThresholdInput load) {
		long now = load.nowNanoseconds();
		double excess = (double) load.queueNanoseconds() / load.targetNanoseconds() - 1;
		double share = Math.max(DRAIN_FLOOR, Math.min(1, 1 - DRAIN_GAIN * excess));
		double allowed = share * load.capacityPerSecond();
		updateLoadRatio(load);
		if (this.demand.demand(this.threshold, now) > allowed) {
			this.threshold = Math.max(this.threshold, this.demand.lowestPriority(allowed, now));
			this.lastFall = now;
		}
	}

	private void fall(ThresholdInput load) {
		if (this.threshold == 0) {
			this.loadRatio = 1;
			return;
		}
		long now = load.nowNanoseconds();
		double capacity = load.capacityPerSecond();
		double spare = Math.max(RELEASED_SHARE * capacity, capacity - this.demand.demand(this.threshold, now));
		double remembered = this.memory.demand(this.threshold, now);
		int released = this.memory.lowestPriority(remembered + spare, now);
		this.threshold = Math.max(0, Math.max(Math.min(released, this.threshold - 1), this.threshold - this.step));
		this.step = Math.min(2 * this.step, Integer.MAX_VALUE / 4);
		updateLoadRatio(load);
	}

	private void updateLoadRatio(ThresholdInput load) {
		double offered = this.memory.demand(0, load.nowNanoseconds());
		this.loadRatio = offered / Math.max(1, load.capacityPerSecond());
	}

}
