package org.wasabicart.mesh;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

import org.jboss.logging.Logger;

/**
 * Account of the bytes that a node holds for callers, servers and other nodes. When they
 * exceed a limit below the size of the heap, holders give up what they hold, one at a
 * time: first the largest response without an end in sight, then the largest of the
 * others. All methods must be called on the event loop.
 */
final class HeldMemory {

	private static final Logger logger = Logger.getLogger(HeldMemory.class);

	/** Giving up smaller holdings would not help. */
	private static final long MINIMUM_RECLAIMED_BYTES = 16 * 1024;

	/** Share of the limit above which new work that can wait should wait. */
	private static final double PRESSURE_SHARE = 0.5;

	/** Share of the limit above which large messages are refused. */
	private static final double FULL_SHARE = 0.9;

	private final long limit;

	private final Executor executor;

	private final Set<Holding> reclaimable = new LinkedHashSet<>();

	private long held;

	private long peak;

	private long givenUp;

	private boolean reclaiming;

	/**
	 * Creates an account.
	 * @param limit number of bytes above which holders give up what they hold
	 * @param executor runs a task on the event loop after the current one
	 */
	HeldMemory(long limit, Executor executor) {
		this.limit = limit;
		this.executor = Objects.requireNonNull(executor, "executor");
	}

	/**
	 * Opens a holding without bytes.
	 * @param kind kind of the bytes
	 * @param giveUp releases the bytes when the account is over its limit
	 * @return the holding
	 */
	Holding open(Kind kind, Runnable giveUp) {
		return new Holding(kind, Objects.requireNonNull(giveUp, "giveUp"));
	}

	/**
	 * Returns whether work that can wait should not be started.
	 * @return whether a large part of the limit is used up
	 */
	boolean underPressure() {
		return this.held > this.limit * PRESSURE_SHARE;
	}

	/**
	 * Returns whether messages would have to be given up for further ones.
	 * @return whether almost the whole limit is used up
	 */
	boolean full() {
		return this.held > this.limit * FULL_SHARE;
	}

	long held() {
		return this.held;
	}

	/**
	 * Returns the largest number of bytes that were held at the same time.
	 * @return the number
	 */
	long peak() {
		return this.peak;
	}

	/**
	 * Returns the number of holdings that were given up.
	 * @return the number
	 */
	long givenUp() {
		return this.givenUp;
	}

	private void change(long difference) {
		this.held += difference;
		this.peak = Math.max(this.peak, this.held);
		if (this.held > this.limit && !this.reclaiming) {
			// The holder that has just grown may be the one that gives up.
			this.reclaiming = true;
			this.executor.execute(this::reclaim);
		}
	}

	private void reclaim() {
		try {
			while (this.held > this.limit) {
				Optional<Holding> largest = this.reclaimable.stream()
					.max(Comparator.comparing((Holding holding) -> holding.kind)
						.thenComparingLong((holding) -> holding.bytes));
				if (largest.isEmpty()) {
					return;
				}
				Holding holding = largest.get();
				logger.warnf("event=memory-given-up kind=%s bytes=%d held=%d limit=%d", holding.kind, holding.bytes,
						this.held, this.limit);
				this.givenUp++;
				holding.release();
				holding.giveUp.run();
			}
		}
		finally {
			this.reclaiming = false;
		}
	}

	/**
	 * Kind of the held bytes. Later kinds are given up first.
	 */
	enum Kind {

		/** Bytes that cannot be given up. */
		FIXED,

		/** Response that a peer has yet to read. */
		UNREAD,

		/** Message of a stated length that has not arrived completely. */
		INCOMPLETE,

		/** Message without a stated length that has not arrived completely. */
		UNBOUNDED

	}

	/**
	 * Bytes of one holder.
	 */
	final class Holding {

		private Kind kind;

		private final Runnable giveUp;

		private long bytes;

		private Holding(Kind kind, Runnable giveUp) {
			this.kind = kind;
			this.giveUp = giveUp;
		}

		void kind(Kind value) {
			this.kind = value;
		}

		long bytes() {
			return this.bytes;
		}

		/**
		 * Changes the number of bytes.
		 * @param value number of bytes that are held now
		 */
		void resize(long value) {
			long difference = value - this.bytes;
			if (difference == 0) {
				return;
			}
			this.bytes = value;
			if (value >= MINIMUM_RECLAIMED_BYTES && this.kind != Kind.FIXED) {
				HeldMemory.this.reclaimable.add(this);
			}
			else if (value - difference >= MINIMUM_RECLAIMED_BYTES) {
				HeldMemory.this.reclaimable.remove(this);
			}
			change(difference);
		}

		void release() {
			resize(0);
		}

	}

}
