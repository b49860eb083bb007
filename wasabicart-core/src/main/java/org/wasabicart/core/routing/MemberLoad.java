package org.wasabicart.core.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;

/**
 * What one node has observed of one member: calls in flight, latency, refusals and
 * failures. Kept for one instance of the member; a new instance starts anew.
 */
final class MemberLoad {

	/** Failures in a row after which a member is ejected. */
	static final int FAILURES_TO_EJECT = 5;

	/** First ejection; doubles with each ejection in a row. */
	static final long EJECTION_BASE = Duration.ofMillis(500).toNanos();

	/** Longest ejection, so that a member that has recovered is found again. */
	static final long EJECTION_MAXIMUM = Duration.ofSeconds(10).toNanos();

	/** Time over which a new instance's share of the calls rises to the full share. */
	static final long SLOW_START = Duration.ofSeconds(3).toNanos();

	private static final double SLOW_START_FLOOR = 0.1;

	private static final double LATENCY_WEIGHT = 0.1;

	private static final double FAILURE_WEIGHT = 0.1;

	/** Half-life of the refused share while no calls are sent to the member. */
	private static final double PRESSURE_HALF_LIFE = Duration.ofMillis(300).toNanos();

	private static final double PRESSURE_WEIGHT = 0.1;

	private static final int SERVER_ERROR = 500;

	private volatile Member member;

	private final long firstSeen;

	private int inFlight;

	private double latency;

	private long latencyTime;

	private double failedShare;

	private double pressure;

	private long pressureTime;

	private int failuresInRow;

	private int ejectionsInRow;

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
	 * Returns the cost of one more call.
	 * @param now the ticker's time
	 * @return estimated nanoseconds until all calls in flight and one more have ended,
	 * raised for members that fail or have just started
	 */
	synchronized double cost(long now) {
		double success = Math.max(0.05, 1 - this.failedShare);
		return Math.max(1, this.latency) * (this.inFlight + 1) / (success * slowStartWeight(now));
	}

	/**
	 * Returns the mean latency.
	 * @return nanoseconds, zero if nothing was observed
	 */
	synchronized double latency() {
		return this.latency;
	}

	/**
	 * Returns the time of the last latency.
	 * @return ticker nanoseconds
	 */
	synchronized long latencyTime() {
		return this.latencyTime;
	}

	/**
	 * Returns the share of calls that the member refused recently.
	 * @param now the ticker's time
	 * @return share, 0 to 1
	 */
	synchronized double pressure(long now) {
		return this.pressure * Math.pow(0.5, (now - this.pressureTime) / PRESSURE_HALF_LIFE);
	}

	private double slowStartWeight(long now) {
		double age = (double) (now - this.firstSeen) / SLOW_START;
		return Math.min(1, Math.max(SLOW_START_FLOOR, age));
	}

	synchronized void started() {
		this.inFlight++;
	}

	synchronized void finished(RouteSample sample, long now, RandomGenerator random) {
		this.inFlight = Math.max(0, this.inFlight - 1);
		Outcome outcome = sample.outcome();
		if (outcome instanceof Outcome.Refused refused) {
			refused(refused.reason(), now, random);
		}
		else if (failed(outcome)) {
			observeLatency(sample.latencyNanoseconds(), now);
			failure(now, 1, random);
		}
		else if (!cancelled(outcome)) {
			observeLatency(sample.latencyNanoseconds(), now);
			observePressure(0, now);
			this.failedShare *= 1 - FAILURE_WEIGHT;
			this.failuresInRow = 0;
			this.ejectionsInRow = 0;
			this.ejected = false;
		}
	}

	private static boolean failed(Outcome outcome) {
		if (outcome instanceof Outcome.Completed completed) {
			return completed.status() >= SERVER_ERROR;
		}
		if (outcome instanceof Outcome.Failed failed) {
			// A failure below the member says nothing of the member itself.
			return failed.reason() != FailureReason.CANCELLED && !failed.retriedBelow();
		}
		return outcome instanceof Outcome.Unknown;
	}

	private static boolean cancelled(Outcome outcome) {
		return outcome instanceof Outcome.Failed;
	}

	private void refused(RefusalReason reason, long now, RandomGenerator random) {
		switch (reason) {
			case UNREACHABLE, DRAINING, NO_BACKEND_SERVER -> failure(now, FAILURES_TO_EJECT, random);
			case OVERLOADED, QUEUE_FULL, SHED, TABLE_FULL -> {
				// A member that refuses for load is reachable.
				this.failuresInRow = 0;
				observePressure(1, now);
			}
			default -> {
				// The other reasons concern the request, not the member.
			}
		}
	}

	private void failure(long now, int weight, RandomGenerator random) {
		this.failedShare += FAILURE_WEIGHT * (1 - this.failedShare);
		this.failuresInRow += weight;
		if (this.failuresInRow >= FAILURES_TO_EJECT) {
			// A single failure ejects again until the member has answered once.
			this.failuresInRow = FAILURES_TO_EJECT - 1;
			long bound = Math.min(EJECTION_MAXIMUM, EJECTION_BASE << Math.min(this.ejectionsInRow, 10));
			this.ejected = true;
			this.ejectedUntil = now + bound / 2 + random.nextLong(bound / 2 + 1);
			this.ejectionsInRow++;
		}
	}

	private void observeLatency(long nanoseconds, long now) {
		if (this.latency == 0) {
			this.latency = nanoseconds;
		}
		else {
			this.latency += LATENCY_WEIGHT * (nanoseconds - this.latency);
		}
		this.latencyTime = now;
	}

	private void observePressure(int refused, long now) {
		this.pressure = pressure(now);
		this.pressure += PRESSURE_WEIGHT * (refused - this.pressure);
		this.pressureTime = now;
	}

}
