package org.wasabicart.core.membership;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;

/**
 * Decides which store call a node makes next to hold its contact entry under a lease. At
 * most one call is in flight at a time. Not thread-safe.
 */
public final class ContactLease {

	/** Time to live of the lease. */
	public static final Duration TIME_TO_LIVE = Duration.ofSeconds(30);

	private static final long RENEWAL_INTERVAL_NANOSECONDS = Duration.ofSeconds(10).toNanos();

	private static final Duration FIRST_BACKOFF = Duration.ofSeconds(1);

	private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(15);

	private final Ticker ticker;

	private final ReconnectBackoff backoff;

	private Stage stage = Stage.NONE;

	private boolean inFlight;

	private long callStart;

	private long leaseStart;

	private long nextCallTime;

	/**
	 * Creates the state of a node that holds no entry.
	 * @param ticker monotonic clock
	 * @param random random source
	 */
	public ContactLease(Ticker ticker, RandomGenerator random) {
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.backoff = new ReconnectBackoff(FIRST_BACKOFF, MAXIMUM_BACKOFF, random);
		this.nextCallTime = ticker.nanoseconds();
	}

	/**
	 * Store call to make.
	 */
	public enum Call {

		/** No call is due. */
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
	 * Returns the call to make now, which is then in flight.
	 * @param contact whether the node is a contact node in the current view
	 * @return call
	 */
	public Call startNextCall(boolean contact) {
		long now = this.ticker.nanoseconds();
		endExpiredLease(now);
		if (this.inFlight || now - this.nextCallTime < 0) {
			return Call.NONE;
		}
		Call call = chooseCall(contact);
		if (call != Call.NONE) {
			this.inFlight = true;
			this.callStart = now;
		}
		return call;
	}

	private Call chooseCall(boolean contact) {
		return switch (this.stage) {
			case NONE -> contact ? Call.GRANT : Call.NONE;
			case GRANTED -> contact ? Call.WRITE : Call.REVOKE;
			case HELD -> contact ? Call.KEEP_ALIVE : Call.REVOKE;
		};
	}

	// The process may have been paused for longer than the lease. The local lease time
	// starts when the grant or last renewal is sent, which is never later than its start
	// in the store.
	private void endExpiredLease(long now) {
		if (this.stage != Stage.NONE && now - this.leaseStart >= TIME_TO_LIVE.toNanos()) {
			this.stage = Stage.NONE;
			this.nextCallTime = now;
		}
	}

	/**
	 * Returns whether the entry was written and its lease has not expired by the local
	 * clock. Callers check this before each use of the entry.
	 * @return whether the lease is held
	 */
	public boolean isHeld() {
		endExpiredLease(this.ticker.nanoseconds());
		return this.stage == Stage.HELD;
	}

	/**
	 * Records that the call in flight took effect.
	 * @param call call that was in flight
	 */
	public void succeeded(Call call) {
		this.inFlight = false;
		this.backoff.reset();
		long now = this.ticker.nanoseconds();
		this.nextCallTime = now;
		switch (call) {
			case GRANT -> {
				this.stage = Stage.GRANTED;
				this.leaseStart = this.callStart;
			}
			case WRITE -> {
				this.stage = Stage.HELD;
				this.nextCallTime = now + RENEWAL_INTERVAL_NANOSECONDS;
			}
			case KEEP_ALIVE -> {
				this.leaseStart = this.callStart;
				this.nextCallTime = now + RENEWAL_INTERVAL_NANOSECONDS;
			}
			case REVOKE -> this.stage = Stage.NONE;
			case NONE -> throw new IllegalArgumentException("call must not be NONE");
		}
	}

	/**
	 * Records that the call in flight failed, or that its effect is unknown.
	 */
	public void failed() {
		this.inFlight = false;
		this.nextCallTime = this.ticker.nanoseconds() + this.backoff.nextDelay();
	}

	/**
	 * Records that the store no longer has the lease.
	 */
	public void leaseLost() {
		this.inFlight = false;
		this.stage = Stage.NONE;
		this.nextCallTime = this.ticker.nanoseconds();
	}

}
