package org.wasabicart.core.mesh;

import java.util.Objects;
import java.util.Optional;

/**
 * State of a backend server as seen by a node that sends calls to it.
 */
public final class MemberStatus {

	/** Weight of the newest call; averages over about the last 20 calls. */
	private static final double FAILED_SHARE_WEIGHT = 0.05;

	private final IncarnationRecords records;

	private MeshMember member;

	private IncarnationRecord incarnationRecord;

	private MemberLoadReport report;

	private long reportTime;

	private int inFlight;

	private int inFlightAtReport;

	private boolean reachable = true;

	private boolean nodeStopping;

	private long avoidedUntil;

	private boolean avoided;

	private double failedShare;

	/**
	 * Creates a status.
	 * @param member server
	 * @param records what is known about the incarnations of servers
	 */
	public MemberStatus(MeshMember member, IncarnationRecords records) {
		this.records = Objects.requireNonNull(records, "records");
		member(member);
	}

	/**
	 * Returns the server.
	 * @return the server
	 */
	public MeshMember member() {
		return this.member;
	}

	/**
	 * Replaces the announced description of the server. A new incarnation starts without
	 * a load report or failed calls, and is not avoided.
	 * @param announced server
	 */
	public void member(MeshMember announced) {
		Objects.requireNonNull(announced, "announced");
		if (this.member != null && !this.member.incarnation().equals(announced.incarnation())) {
			this.report = null;
			this.avoided = false;
			this.failedShare = 0;
		}
		this.member = announced;
		this.incarnationRecord = this.records.get(announced.incarnation());
		if (announced.state() == ServerState.LEAVING) {
			this.incarnationRecord.markLeaving();
		}
	}

	/**
	 * Records that a call was sent.
	 */
	public void sent() {
		this.inFlight++;
	}

	/**
	 * Records that a call has ended.
	 */
	public void ended() {
		this.inFlight--;
		this.inFlightAtReport = Math.min(this.inFlightAtReport, this.inFlight);
	}

	/**
	 * Records whether the server failed a call.
	 * @param failed whether it failed, for a reason other than load
	 */
	public void recordOutcome(boolean failed) {
		this.failedShare += FAILED_SHARE_WEIGHT * ((failed ? 1 : 0) - this.failedShare);
	}

	/**
	 * Returns the share of the last calls that failed.
	 * @return the share, 0 to 1
	 */
	public double failedShare() {
		return this.failedShare;
	}

	/**
	 * Records the load that was reported with an answer.
	 * @param load load
	 * @param now current time in nanoseconds
	 */
	public void reported(MemberLoadReport load, long now) {
		this.report = load;
		this.reportTime = now;
		this.inFlightAtReport = this.inFlight;
		load.rateLimit().ifPresent(this.incarnationRecord::rateLimit);
		if (load.leaving()) {
			this.incarnationRecord.markLeaving();
		}
	}

	/**
	 * Returns the rate limit that the server has named last.
	 * @return the limit, or empty if no response of the server is known
	 */
	public Optional<RateLimit> rateLimit() {
		return this.incarnationRecord.rateLimit();
	}

	/**
	 * Records whether the node beside the server can be reached.
	 * @param value whether it can be reached
	 */
	public void reachable(boolean value) {
		this.reachable = value;
	}

	/**
	 * Returns whether the node beside the server can be reached.
	 * @return whether it can be reached
	 */
	public boolean reachable() {
		return this.reachable;
	}

	/**
	 * Records whether the node beside the server is about to stop.
	 * @param value whether it takes no new calls
	 */
	public void nodeStopping(boolean value) {
		this.nodeStopping = value;
	}

	/**
	 * Returns whether the node beside the server is about to stop.
	 * @return whether it takes no new calls
	 */
	public boolean nodeStopping() {
		return this.nodeStopping;
	}

	/**
	 * Returns whether the server is known to be leaving, although its node announces that
	 * it takes new work.
	 * @return whether its node lacks this information
	 */
	public boolean leavingUnannounced() {
		return this.incarnationRecord.leaving() && this.member.state() != ServerState.LEAVING;
	}

	/**
	 * Makes the server unusable until a time.
	 * @param until time in nanoseconds
	 */
	public void avoid(long until) {
		this.avoided = true;
		this.avoidedUntil = until;
	}

	/**
	 * Returns whether new calls may be sent.
	 * @param now current time in nanoseconds
	 * @return whether the server takes new work and can be reached
	 */
	public boolean usable(long now) {
		if (this.avoided && now - this.avoidedUntil >= 0) {
			this.avoided = false;
		}
		return this.reachable && !this.nodeStopping && !this.avoided && !this.incarnationRecord.leaving()
				&& this.member.state() == ServerState.READY;
	}

	/**
	 * Returns the share of the server's capacity that is in use: of its slots or of its
	 * rate limit, whichever is higher.
	 * @param now current time in nanoseconds
	 * @return the load; 1 means that all slots or all requests per second are in use
	 */
	public double load(long now) {
		return Math.max(slotLoad(), rateLoad(now));
	}

	/**
	 * Returns the expected time for which a call holds a slot of the server.
	 * @return the time in nanoseconds as reported last, 0 if it is not known
	 */
	public long serviceTime() {
		return (this.report != null) ? this.report.serviceTime() : 0;
	}

	/**
	 * Returns the age of the last report.
	 * @param now current time in nanoseconds
	 * @return the age in nanoseconds, or {@link Long#MAX_VALUE} without a report
	 */
	public long reportAge(long now) {
		return (this.report != null) ? now - this.reportTime : Long.MAX_VALUE;
	}

	private double slotLoad() {
		if (this.report == null) {
			return (double) this.inFlight / this.member.slots();
		}
		return (double) (this.report.running() + this.report.waiting() + sentSinceReport()) / this.report.limit();
	}

	/**
	 * Returns the load that is expected now. The number of calls that were running when
	 * the server reported says little once these calls have ended; its recent mean does.
	 * @param now current time in nanoseconds
	 * @return the load; 1 means that all slots or all requests per second are in use
	 */
	public double expectedLoad(long now) {
		if (serviceTime() <= 0) {
			return load(now);
		}
		double current = this.report.running() + this.report.waiting();
		double kept = Math.exp(-(double) Math.max(0, reportAge(now)) / serviceTime());
		double used = this.report.meanUsed() + (current - this.report.meanUsed()) * kept + sentSinceReport();
		return Math.max(used / this.report.limit(), rateLoad(now));
	}

	private int sentSinceReport() {
		return Math.max(0, this.inFlight - this.inFlightAtReport);
	}

	private double rateLoad(long now) {
		RateLimit limit = rateLimit().orElse(RateLimit.NONE);
		if (!limit.limited() || this.report == null) {
			return 0;
		}
		// Calls that other nodes send after the report are unknown, so its weight decays.
		double reported = (this.report.requestRate() + this.report.waiting())
				* RequestRate.decay(now - this.reportTime);
		return (reported + sentSinceReport()) / Math.max(RequestRateLimiter.MINIMUM_RATE, limit.requestsPerSecond());
	}

	/**
	 * Returns whether the requests per second that the server accepts are in use.
	 * @param now current time in nanoseconds
	 * @return whether its rate limit is used up
	 */
	public boolean rateLimitUsedUp(long now) {
		return rateLoad(now) >= 1;
	}

}
