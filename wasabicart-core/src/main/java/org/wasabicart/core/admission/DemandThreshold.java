package org.wasabicart.core.admission;

import java.time.Duration;

import org.wasabicart.core.model.Priority;

/**
 * Threshold that matches the admitted demand to the capacity. The target demand is
 * slightly above the capacity while calls wait for less than the target time, and below
 * it while they wait for longer, so that a short queue keeps the slots busy.
 * <p>
 * The threshold rises at once to the priority at which the observed demand meets the
 * target. It falls in steps, because entry nodes refuse calls below it, so that their
 * demand is not observed. The density of demand, in calls per second for each priority,
 * is assumed to be the same just below the threshold as just above it.
 */
final class DemandThreshold implements ThresholdControl {

	/** Half-life of the demand that sets the threshold. */
	static final long DEMAND_HALF_LIFE_NANOSECONDS = Duration.ofMillis(150).toNanos();

	/**
	 * Half-life of the demand that sets the load ratio. It is long, so that calls which
	 * entry nodes now refuse still count.
	 */
	static final long LOAD_RATIO_HALF_LIFE_NANOSECONDS = Duration.ofSeconds(3).toNanos();

	/** Interval between two rises. */
	static final long RISE_INTERVAL_NANOSECONDS = Duration.ofMillis(20).toNanos();

	/** Interval between two falls, long enough for responses to carry the threshold. */
	static final long FALL_INTERVAL_NANOSECONDS = Duration.ofMillis(50).toNanos();

	/**
	 * Waiting time, relative to the target, up to which the threshold does not rise.
	 */
	private static final double RISE_WAIT_RATIO = 0.5;

	/** Target demand while no calls wait, relative to the capacity. */
	private static final double EMPTY_QUEUE_DEMAND_RATIO = 1.05;

	/** Lowest target demand, relative to the capacity. */
	private static final double MINIMUM_DEMAND_RATIO = 0.5;

	/** Time in which the calls that exceed the target waiting time are to be served. */
	private static final double DRAIN_NANOSECONDS = Duration.ofMillis(150).toNanos();

	/** Priorities admitted by the first fall; doubles with each consecutive fall. */
	private static final int INITIAL_FALL_STEP = 32;

	/** Falls skip priority classes in which no call was offered for this time. */
	private static final long ACTIVE_NANOSECONDS = Duration.ofSeconds(30).toNanos();

	/**
	 * Half-life of the highest observed density, which is used while newly admitted
	 * demand is still arriving.
	 */
	private static final double DENSITY_HALF_LIFE_NANOSECONDS = Duration.ofMillis(300).toNanos();

	/**
	 * Half-life of newly admitted demand that is not observed yet: the half-life of the
	 * observed demand plus a delay.
	 */
	private static final double UNOBSERVED_HALF_LIFE_NANOSECONDS = Duration.ofMillis(200).toNanos();

	/**
	 * Waiting time of the queued calls at or above an importance, relative to the target,
	 * below which they count as a burst, and a rise refuses no calls of that importance.
	 */
	private static final double BURST_WAIT_RATIO = 1;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	/** Priority classes: the root requests and the nested calls of each importance. */
	private static final int CLASSES = Priority.LEVELS / Priority.BUCKETS;

	private final DemandHistogram demand;

	private final DemandHistogram longTermDemand;

	private int threshold;

	private int fallStep = INITIAL_FALL_STEP;

	/**
	 * Demand in calls per second that recent falls admit and that is not observed yet.
	 */
	private double unobservedDemand;

	private long unobservedDemandTime;

	/** Time of the last call of each class since the start; zero if there was none. */
	private final long[] lastOffered = new long[CLASSES];

	/** Highest recent density of each class, in calls per second for each priority. */
	private final double[] peakDensity = new double[CLASSES];

	private final long[] peakTime = new long[CLASSES];

	private final long startTime;

	private long riseIntervalStart;

	private long fallIntervalStart;

	private double loadRatio = 1;

	DemandThreshold(long now) {
		this.demand = new DemandHistogram(DEMAND_HALF_LIFE_NANOSECONDS, now);
		this.longTermDemand = new DemandHistogram(LOAD_RATIO_HALF_LIFE_NANOSECONDS, now);
		this.startTime = now;
		this.riseIntervalStart = now;
		this.fallIntervalStart = now;
	}

	@Override
	public void offered(int priority, long nowNanoseconds) {
		this.lastOffered[priority / Priority.BUCKETS] = Math.max(1, nowNanoseconds - this.startTime);
		this.demand.add(priority, nowNanoseconds);
		this.longTermDemand.add(priority, nowNanoseconds);
	}

	@Override
	public int update(ThresholdInput load) {
		long now = load.nowNanoseconds();
		double waitRatio = (double) load.queueNanoseconds() / load.targetNanoseconds();
		double targetDemand = targetDemandRatio(load) * load.capacityPerSecond();
		if (waitRatio > RISE_WAIT_RATIO) {
			this.fallStep = INITIAL_FALL_STEP;
			if (now - this.riseIntervalStart >= RISE_INTERVAL_NANOSECONDS) {
				this.riseIntervalStart = now;
				raise(targetDemand, load);
			}
		}
		else if (now - this.fallIntervalStart >= FALL_INTERVAL_NANOSECONDS) {
			this.fallIntervalStart = now;
			lower(targetDemand, load);
		}
		return this.threshold;
	}

	@Override
	public double loadRatio() {
		return this.loadRatio;
	}

	private static double targetDemandRatio(ThresholdInput load) {
		double nanosecondsBelowTarget = load.targetNanoseconds() - load.queueNanoseconds();
		if (nanosecondsBelowTarget >= 0) {
			return 1 + (EMPTY_QUEUE_DEMAND_RATIO - 1) * nanosecondsBelowTarget / load.targetNanoseconds();
		}
		return Math.max(MINIMUM_DEMAND_RATIO, 1 + nanosecondsBelowTarget / DRAIN_NANOSECONDS);
	}

	private void raise(double targetDemand, ThresholdInput load) {
		long now = load.nowNanoseconds();
		updateLoadRatio(load);
		if (this.threshold > 0) {
			observeDensity((this.threshold - 1) / Priority.BUCKETS, this.threshold, now);
		}
		if (this.demand.demand(this.threshold, now) > targetDemand) {
			this.threshold = Math.max(this.threshold, raisedThreshold(targetDemand, load));
			this.unobservedDemand = 0;
			this.fallIntervalStart = now;
		}
	}

	// To drain a long queue, only calls of the importance that exceeds the capacity are
	// refused. Calls of higher importance are served first, whatever is queued, so they
	// are not refused because of the queue.
	private int raisedThreshold(double targetDemand, ThresholdInput load) {
		int drainingThreshold = this.demand.lowestPriority(targetDemand, load.nowNanoseconds());
		int fittingThreshold = this.demand.lowestPriority(load.capacityPerSecond(), load.nowNanoseconds());
		int nextImportance = (fittingThreshold + Priority.LEVELS_PER_IMPORTANCE - 1) / Priority.LEVELS_PER_IMPORTANCE;
		int raisedThreshold = Math.min(drainingThreshold,
				Math.max(fittingThreshold, nextImportance * Priority.LEVELS_PER_IMPORTANCE));
		int importanceStart = raisedThreshold / Priority.LEVELS_PER_IMPORTANCE * Priority.LEVELS_PER_IMPORTANCE;
		double waitSeconds = load.queuedAtOrAbove().applyAsInt(importanceStart) / load.capacityPerSecond();
		boolean burst = waitSeconds * NANOSECONDS_PER_SECOND < BURST_WAIT_RATIO * load.targetNanoseconds();
		return burst ? importanceStart : raisedThreshold;
	}

	private void lower(double targetDemand, ThresholdInput load) {
		if (this.threshold == 0) {
			this.loadRatio = 1;
			return;
		}
		long now = load.nowNanoseconds();
		double expectedDemand = this.demand.demand(this.threshold, now) + unobservedDemand(now);
		if (targetDemand <= expectedDemand) {
			return;
		}
		int fittingThreshold = this.demand.lowestPriority(targetDemand, now);
		int lowered = loweredThreshold(targetDemand - expectedDemand, now);
		this.threshold = Math.min(this.threshold, Math.max(fittingThreshold, lowered));
		this.fallStep = Math.min(2 * this.fallStep, Priority.LEVELS);
		updateLoadRatio(load);
	}

	// Returns the threshold that admits at most the missing demand and at most one step.
	private int loweredThreshold(double missingDemand, long now) {
		int lowered = this.threshold;
		double remainingDemand = missingDemand;
		int remainingStep = this.fallStep;
		this.unobservedDemand = unobservedDemand(now);
		this.unobservedDemandTime = now;
		while (lowered > 0 && remainingStep > 0) {
			int priorityClass = (lowered - 1) / Priority.BUCKETS;
			int classStart = priorityClass * Priority.BUCKETS;
			if (!isActive(priorityClass, now)) {
				lowered = classStart;
				continue;
			}
			double density = observeDensity(priorityClass, lowered, now);
			double fittingPriorities = (density > 0) ? remainingDemand / density : Priority.BUCKETS;
			int admitted = (int) Math.min(lowered - classStart, Math.min(remainingStep, fittingPriorities));
			lowered -= admitted;
			this.unobservedDemand += admitted * density;
			if (lowered > classStart) {
				// At least one priority is admitted, even if it exceeds the missing
				// demand.
				return (lowered == this.threshold) ? lowered - 1 : lowered;
			}
			remainingDemand -= admitted * density;
			remainingStep -= admitted;
		}
		return lowered;
	}

	private double unobservedDemand(long now) {
		return this.unobservedDemand
				* Math.pow(0.5, (now - this.unobservedDemandTime) / UNOBSERVED_HALF_LIFE_NANOSECONDS);
	}

	private boolean isActive(int priorityClass, long now) {
		long lastOfferedTime = this.lastOffered[priorityClass];
		return lastOfferedTime > 0 && now - this.startTime - lastOfferedTime < ACTIVE_NANOSECONDS;
	}

	// Returns the density of a class from its lowest observed priority up, or its recent
	// peak if that is higher, and updates the peak.
	private double observeDensity(int priorityClass, int lowest, long now) {
		int classEnd = (priorityClass + 1) * Priority.BUCKETS;
		double peak = this.peakDensity[priorityClass]
				* Math.pow(0.5, (now - this.peakTime[priorityClass]) / DENSITY_HALF_LIFE_NANOSECONDS);
		if (classEnd == lowest) {
			return peak;
		}
		double observed = (this.demand.demand(lowest, now) - demandFrom(classEnd, now)) / (classEnd - lowest);
		if (observed > peak) {
			this.peakDensity[priorityClass] = observed;
			this.peakTime[priorityClass] = now;
			return observed;
		}
		return peak;
	}

	private double demandFrom(int priority, long now) {
		return (priority < Priority.LEVELS) ? this.demand.demand(priority, now) : 0;
	}

	private void updateLoadRatio(ThresholdInput load) {
		double offered = this.longTermDemand.demand(0, load.nowNanoseconds());
		this.loadRatio = offered / Math.max(1, load.capacityPerSecond());
	}

}
