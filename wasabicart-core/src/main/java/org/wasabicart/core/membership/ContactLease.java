package org.wasabicart.core.membership;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;

/**
 * Decides which store call a node makes next to hold its contact entry under a lease. One
 * call is in flight at a time. Not safe for use by several threads.
 */
public final class ContactLease {

	/** Time to live of the lease. */
	public static final Duration TIME_TO_LIVE = Duration.ofSeconds(30);

	private static final long RENEWAL = Duration.ofSeconds(10).toNanos();

	private static final Duration FIRST_BACKOFF = Duration.ofSeconds(1);

	private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(15);

	private final Ticker ticker;

	private final Backoff backoff;

	private Stage stage = Stage.NONE;

	private boolean inFlight;

	private long callStart;

	private long leaseStart;

	private long nextCall;

	/**
	 * Creates the decisions for a node that holds no entry.
	 * @param ticker monotonic clock
	 * @param random random source
	 */
	public ContactLease(Ticker ticker, RandomGenerator random) {
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.backoff = new Backoff(FIRST_BACKOFF, MAXIMUM_BACKOFF, random);
		this.nextCall = ticker.nanoseconds();
	}

	/**
	 * Store call to make.
	 */
	public enum Call {

		/** None now. */
		NONE,

		/** Grant a lease. */
		GRANT,

		/** Write the entry under the granted lease. */
		WRITE,

		/** Keep the lease alive. */
		KEEP_ALIVE,

		/** Revoke the lease, which deletes the entry. */
		REVOKE

	}

	private enum Stage {

		NONE, GRANTED, HELD

	}

	/**
	 * Decides on the next call, and counts it as in flight.
	 * @param contact whether the node is a contact node by the current view
	 * @return call
	 */
	public Call next(boolean contact) {
		long now = this.ticker.nanoseconds();
		forgetExpiredLease(now);
		if (this.inFlight || now - this.nextCall < 0) {
			return Call.NONE;
		}
		Call call = choose(contact);
		if (call != Call.NONE) {
			this.inFlight = true;
			this.callStart = now;
		}
		return call;
	}

	private Call choose(boolean contact) {
		return switch (this.stage) {
			case NONE -> contact ? Call.GRANT : Call.NONE;
			case GRANTED -> contact ? Call.WRITE : Call.REVOKE;
			case HELD -> contact ? Call.KEEP_ALIVE : Call.REVOKE;
		};
	}

	// The process may have been paused for longer than the lease, and the store counts
	// from the time at which it received the last renewal, which is after it was sent.
	private void forgetExpiredLease(long now) {
		if (this.stage != Stage.NONE && now - this.leaseStart >= TIME_TO_LIVE.toNanos()) {
			this.stage = Stage.NONE;
			this.nextCall = now;
		}
	}

	/**
	 * Returns whether the entry is in the store as far as the clock shows. To be asked
	 * before each use of it.
	 * @return whether the lease is still valid
	 */
	public boolean isHeld() {
		forgetExpiredLease(this.ticker.nanoseconds());
		return this.stage == Stage.HELD;
	}

	/**
	 * The call in flight took effect.
	 * @param call call
	 */
	public void succeeded(Call call) {
		this.inFlight = false;
		this.backoff.succeeded();
		long now = this.ticker.nanoseconds();
		this.nextCall = now;
		switch (call) {
			case GRANT -> {
				this.stage = Stage.GRANTED;
				this.leaseStart = this.callStart;
			}
			case WRITE -> {
				this.stage = Stage.HELD;
				this.nextCall = now + RENEWAL;
			}
			case KEEP_ALIVE -> {
				this.leaseStart = this.callStart;
				this.nextCall = now + RENEWAL;
			}
			case REVOKE -> this.stage = Stage.NONE;
			case NONE -> throw new IllegalArgumentException("No call was in flight");
		}
	}

	/**
	 * The call in flight failed, or its effect is unknown.
	 */
	public void failed() {
		this.inFlight = false;
		this.nextCall = this.ticker.nanoseconds() + this.backoff.failed();
	}

	/**
	 * The store no longer has the lease.
	 */
	public void lost() {
		this.inFlight = false;
		this.stage = Stage.NONE;
		this.nextCall = this.ticker.nanoseconds();
	}

}
