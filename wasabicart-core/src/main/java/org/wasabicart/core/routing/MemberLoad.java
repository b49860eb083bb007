package org.wasabicart.core.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;

/**
 * Load of one member as this node observes it: calls in flight, latency, refusals and
 * failures. It belongs to one instance of the member; a new instance gets a new one.
 */
final class MemberLoad {

	/** Consecutive failures after which a member is ejected. */
	static final int FAILURES_TO_EJECT = 5;

	/** Bound on the first ejection; doubles with each consecutive ejection. */
	static final long EJECTION_BASE_NANOSECONDS = Duration.ofMillis(500).toNanos();

	/** Bound on any ejection, so that a recovered member is tried again. */
	static final long EJECTION_MAXIMUM_NANOSECONDS = Duration.ofSeconds(10).toNanos();

	/** Time over which a new instance's share of the calls rises to the full share. */
	static final long SLOW_START_NANOSECONDS = Duration.ofSeconds(3).toNanos();

	/** Weight of a new instance at its start, relative to the full weight. */
	private static final double SLOW_START_MINIMUM_WEIGHT = 0.1;

	/** Weight of a new sample in the moving average of the latency. */
	private static final double LATENCY_WEIGHT = 0.1;

	/** Weight of a new sample in the moving average of the failed share. */
	private static final double FAILURE_WEIGHT = 0.1;

	/** Half-life of the refused share while no calls are sent to the member. */
	private static final double REFUSED_SHARE_HALF_LIFE_NANOSECONDS = Duration.ofMillis(300).toNanos();

	/** Weight of a new sample in the moving average of the refused share. */
	private static final double REFUSED_SHARE_WEIGHT = 0.1;

	private static final int LOWEST_SERVER_ERROR_STATUS = 500;

	private volatile Member member;

	private final long firstSeen;

	private int inFlight;

	private double latency;

	private long latencyUpdateTime;

	private double failedShare;

	private double refusedShare;

	private long refusedShareUpdateTime;

	private int consecutiveFailures;

	private int consecutiveEjections;

	private boolean ejected;

	private long ejectedUntil;

	MemberLoad(Member member, long now) {
		this.member = member;
		this.firstSeen = now;
	}

	Member member() {
		return this.member;
	}

	void update(Member newer) {
		this.member = newer;
	}

	synchronized int inFlight() {
		return this.inFlight;
	}

	synchronized boolean ejected(long now) {
		return this.ejected && now - this.ejectedUntil < 0;
	}

	/**
	 * Returns the end of the ejection.
	 * @return ticker nanoseconds
	 */
	synchronized long ejectedUntil() {
		return this.ejectedUntil;
	}

	/**
	 * Estimates the cost of one more call.
	 * @param now the ticker's time
	 * @return estimated nanoseconds until all calls in flight and one more have ended,
	 * raised for members that fail or have just started
	 */
	synchronized double cost(long now) {
		double success = Math.max(0.05, 1 - this.failedShare);
		return Math.max(1, this.latency) * (this.inFlight + 1) / (success * slowStartWeight(now));
	}

	/**
	 * Returns the moving average of the latency.
	 * @return nanoseconds, zero if nothing was observed
	 */
	synchronized double latency() {
		return this.latency;
	}

	/**
	 * Returns the time at which the latency was last updated.
	 * @return ticker nanoseconds
	 */
	synchronized long latencyUpdateTime() {
		return this.latencyUpdateTime;
	}

	/**
	 * Returns the share of recent calls that the member refused because of load.
	 * @param now the ticker's time
	 * @return share, 0 to 1
	 */
	synchronized double refusedShare(long now) {
		return this.refusedShare
				* Math.pow(0.5, (now - this.refusedShareUpdateTime) / REFUSED_SHARE_HALF_LIFE_NANOSECONDS);
	}

	private double slowStartWeight(long now) {
		double age = (double) (now - this.firstSeen) / SLOW_START_NANOSECONDS;
		return Math.min(1, Math.max(SLOW_START_MINIMUM_WEIGHT, age));
	}

	synchronized void started() {
		this.inFlight++;
	}

	synchronized void finished(RouteSample sample, long now, RandomGenerator random) {
		this.inFlight = Math.max(0, this.inFlight - 1);
		Outcome outcome = sample.outcome();
		if (outcome instanceof Outcome.Refused refused) {
			recordRefusal(refused.reason(), now, random);
		}
		else if (memberFailed(outcome)) {
			updateLatency(sample.latencyNanoseconds(), now);
			recordFailure(now, 1, random);
		}
		else if (!failedElsewhere(outcome)) {
			updateLatency(sample.latencyNanoseconds(), now);
			updateRefusedShare(0, now);
			this.failedShare *= 1 - FAILURE_WEIGHT;
			this.consecutiveFailures = 0;
			this.consecutiveEjections = 0;
			this.ejected = false;
		}
	}

	private static boolean memberFailed(Outcome outcome) {
		if (outcome instanceof Outcome.Completed completed) {
			return completed.status() >= LOWEST_SERVER_ERROR_STATUS;
		}
		if (outcome instanceof Outcome.Failed failed) {
			// A failure below the member says nothing about the member itself.
			return failed.reason() != FailureReason.CANCELLED && !failed.retriedBelow();
		}
		return outcome instanceof Outcome.Unknown;
	}

	// Expects an outcome for which memberFailed is false: a failure is then a
	// cancellation by the caller, or occurred further down the call graph.
	private static boolean failedElsewhere(Outcome outcome) {
		return outcome instanceof Outcome.Failed;
	}

	private void recordRefusal(RefusalReason reason, long now, RandomGenerator random) {
		switch (reason) {
			case UNREACHABLE, DRAINING, NO_BACKEND_SERVER -> recordFailure(now, FAILURES_TO_EJECT, random);
			case OVERLOADED, QUEUE_FULL, SHED, TABLE_FULL -> {
				// A member that refuses because of load is reachable.
				this.consecutiveFailures = 0;
				updateRefusedShare(1, now);
			}
			default -> {
				// The other reasons concern the request, not the member.
			}
		}
	}

	private void recordFailure(long now, int weight, RandomGenerator random) {
		this.failedShare += FAILURE_WEIGHT * (1 - this.failedShare);
		this.consecutiveFailures += weight;
		if (this.consecutiveFailures >= FAILURES_TO_EJECT) {
			// Until the member has answered a call, a single failure ejects it again.
			this.consecutiveFailures = FAILURES_TO_EJECT - 1;
			long bound = Math.min(EJECTION_MAXIMUM_NANOSECONDS,
					EJECTION_BASE_NANOSECONDS << Math.min(this.consecutiveEjections, 10));
			this.ejected = true;
			this.ejectedUntil = now + bound / 2 + random.nextLong(bound / 2 + 1);
			this.consecutiveEjections++;
		}
	}

	private void updateLatency(long nanoseconds, long now) {
		if (this.latency == 0) {
			this.latency = nanoseconds;
		}
		else {
			this.latency += LATENCY_WEIGHT * (nanoseconds - this.latency);
		}
		this.latencyUpdateTime = now;
	}

	private void updateRefusedShare(int sample, long now) {
		this.refusedShare = refusedShare(now);
		this.refusedShare += REFUSED_SHARE_WEIGHT * (sample - this.refusedShare);
		this.refusedShareUpdateTime = now;
	}

}
