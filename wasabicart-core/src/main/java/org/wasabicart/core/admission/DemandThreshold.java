package org.wasabicart.core.admission;

import java.time.Duration;

import org.wasabicart.core.model.Priority;

/**
 * Threshold that fits the offered demand to the capacity. The demand aimed at is slightly
 * above the capacity while calls wait for less than the target time, and below it while
 * they wait for longer, so that a short queue keeps the slots busy.
 * <p>
 * The threshold rises at once to where the observed demand fits. It falls in steps, since
 * entry nodes refuse calls below it and so hide that demand. The demand just below the
 * threshold is assumed to be as dense as the demand observed just above it.
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

	/**
	 * Waiting time, as a share of the target, below which the threshold does not rise.
	 */
	private static final double RISE_WAIT = 0.5;

	/** Demand aimed at without any waiting, as a share of the capacity. */
	private static final double EMPTY_QUEUE_SHARE = 1.05;

	/** Least demand aimed at, as a share of the capacity. */
	private static final double LONG_QUEUE_SHARE = 0.5;

	/** Time in which the calls that wait beyond the target time are to be served. */
	private static final double DRAIN_TIME = Duration.ofMillis(150).toNanos();

	/** Priorities released by the first fall; doubles with each fall in a row. */
	private static final int FIRST_STEP = 32;

	/** Importances without calls for this time are skipped when the threshold falls. */
	private static final long ACTIVE_AGE = Duration.ofSeconds(30).toNanos();

	/** Half-life of the highest density observed, used while newer demand is arriving. */
	private static final double DENSITY_HALF_LIFE = Duration.ofMillis(300).toNanos();

	/**
	 * Half-life of released demand until it is observed: that of the demand, and a delay.
	 */
	private static final double PENDING_HALF_LIFE = Duration.ofMillis(200).toNanos();

	/** Waiting time of an importance, in targets, up to which it is not cut. */
	private static final double BURST_WAIT = 1;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private static final int BLOCKS = Priority.LEVELS / Priority.BUCKETS;

	private final DemandHistogram demand;

	private final DemandHistogram memory;

	private int threshold;

	private int step = FIRST_STEP;

	/** Demand that recent falls have released and that is not observed yet. */
	private double pending;

	private long pendingTime;

	/** Time of the last call by importance and nesting; zero if there was none. */
	private final long[] lastOffered = new long[BLOCKS];

	/** Highest recent density by importance and nesting, in calls per second. */
	private final double[] peakDensity = new double[BLOCKS];

	private final long[] peakTime = new long[BLOCKS];

	private final long start;

	private long lastRise;

	private long lastFall;

	private double loadRatio = 1;

	DemandThreshold(long now) {
		this.demand = new DemandHistogram(DEMAND_HALF_LIFE, now);
		this.memory = new DemandHistogram(MEMORY_HALF_LIFE, now);
		this.start = now;
		this.lastRise = now;
		this.lastFall = now;
	}

	@Override
	public void offered(int priority, long nowNanoseconds) {
		this.lastOffered[priority / Priority.BUCKETS] = Math.max(1, nowNanoseconds - this.start);
		this.demand.add(priority, nowNanoseconds);
		this.memory.add(priority, nowNanoseconds);
	}

	@Override
	public int update(ThresholdInput load) {
		long now = load.nowNanoseconds();
		double wait = (double) load.queueNanoseconds() / load.targetNanoseconds();
		double wanted = share(load) * load.capacityPerSecond();
		if (wait > RISE_WAIT) {
			this.step = FIRST_STEP;
			if (now - this.lastRise >= RISE_INTERVAL) {
				this.lastRise = now;
				rise(wanted, load);
			}
		}
		else if (now - this.lastFall >= FALL_INTERVAL) {
			this.lastFall = now;
			fall(wanted, load);
		}
		return this.threshold;
	}

	@Override
	public double loadRatio() {
		return this.loadRatio;
	}

	private static double share(ThresholdInput load) {
		double missing = load.targetNanoseconds() - load.queueNanoseconds();
		if (missing >= 0) {
			return 1 + (EMPTY_QUEUE_SHARE - 1) * missing / load.targetNanoseconds();
		}
		return Math.max(LONG_QUEUE_SHARE, 1 + missing / DRAIN_TIME);
	}

	private void rise(double wanted, ThresholdInput load) {
		long now = load.nowNanoseconds();
		updateLoadRatio(load);
		if (this.threshold > 0) {
			density((this.threshold - 1) / Priority.BUCKETS, this.threshold, now);
		}
		if (this.demand.demand(this.threshold, now) > wanted) {
			this.threshold = Math.max(this.threshold, raised(wanted, load));
			this.pending = 0;
			this.lastFall = now;
		}
	}

	// A long queue is drained at the cost of the importance that does not fit. Calls of
	// higher importance are served first whatever waits, so they are not cut for it.
	private int raised(double wanted, ThresholdInput load) {
		int drained = this.demand.lowestPriority(wanted, load.nowNanoseconds());
		int fitting = this.demand.lowestPriority(load.capacityPerSecond(), load.nowNanoseconds());
		int importances = (fitting + Priority.LEVELS_PER_IMPORTANCE - 1) / Priority.LEVELS_PER_IMPORTANCE;
		int raised = Math.min(drained, Math.max(fitting, importances * Priority.LEVELS_PER_IMPORTANCE));
		int importance = raised / Priority.LEVELS_PER_IMPORTANCE * Priority.LEVELS_PER_IMPORTANCE;
		double waiting = load.queuedFrom().applyAsInt(importance) / load.capacityPerSecond();
		boolean burst = waiting * NANOSECONDS_PER_SECOND < BURST_WAIT * load.targetNanoseconds();
		return burst ? importance : raised;
	}

	private void fall(double wanted, ThresholdInput load) {
		if (this.threshold == 0) {
			this.loadRatio = 1;
			return;
		}
		long now = load.nowNanoseconds();
		double seen = this.demand.demand(this.threshold, now) + pending(now);
		if (wanted <= seen) {
			return;
		}
		int visible = this.demand.lowestPriority(wanted, now);
		int next = release(wanted - seen, now);
		this.threshold = Math.min(this.threshold, Math.max(visible, next));
		this.step = Math.min(2 * this.step, Priority.LEVELS);
		updateLoadRatio(load);
	}

	// Returns the threshold that releases at most the missing demand and one step.
	private int release(double missing, long now) {
		int next = this.threshold;
		double demandLeft = missing;
		int stepLeft = this.step;
		this.pending = pending(now);
		this.pendingTime = now;
		while (next > 0 && stepLeft > 0) {
			int block = (next - 1) / Priority.BUCKETS;
			int bottom = block * Priority.BUCKETS;
			if (!active(block, now)) {
				next = bottom;
				continue;
			}
			double density = density(block, next, now);
			double fits = (density > 0) ? demandLeft / density : Priority.BUCKETS;
			int released = (int) Math.min(next - bottom, Math.min(stepLeft, fits));
			next -= released;
			this.pending += released * density;
			if (next > bottom) {
				// One priority is released even if it holds more than the missing demand.
				return (next == this.threshold) ? next - 1 : next;
			}
			demandLeft -= released * density;
			stepLeft -= released;
		}
		return next;
	}

	private double pending(long now) {
		return this.pending * Math.pow(0.5, (now - this.pendingTime) / PENDING_HALF_LIFE);
	}

	private boolean active(int block, long now) {
		long last = this.lastOffered[block];
		return last > 0 && now - this.start - last < ACTIVE_AGE;
	}

	// Calls per second and priority at the upper part of a block, which is not hidden.
	private double density(int block, int lowest, long now) {
		int top = (block + 1) * Priority.BUCKETS;
		double peak = this.peakDensity[block] * Math.pow(0.5, (now - this.peakTime[block]) / DENSITY_HALF_LIFE);
		if (top == lowest) {
			return peak;
		}
		double observed = (this.demand.demand(lowest, now) - demandFrom(top, now)) / (top - lowest);
		if (observed > peak) {
			this.peakDensity[block] = observed;
			this.peakTime[block] = now;
			return observed;
		}
		return peak;
	}

	private double demandFrom(int priority, long now) {
		return (priority < Priority.LEVELS) ? this.demand.demand(priority, now) : 0;
	}

	private void updateLoadRatio(ThresholdInput load) {
		double offered = this.memory.demand(0, load.nowNanoseconds());
		this.loadRatio = offered / Math.max(1, load.capacityPerSecond());
	}

}
