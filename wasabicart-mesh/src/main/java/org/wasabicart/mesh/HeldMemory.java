package org.wasabicart.mesh;

import java.util.Comparator;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Account of the bytes that a node holds for callers, servers and other nodes. When they
 * exceed a limit below the size of the heap, messages are discarded, one at a time: first
 * the largest one of unknown length, then the largest of the next {@link Kind}. All
 * methods must be called on the event loop.
 */
final class HeldMemory {

	/**
	 * Discarding smaller messages would not help. Heads of this cost on all connections
	 * that a node accepts take half of the limit.
	 */
	private static final long MINIMUM_RECLAIMED_BYTES = 4 * 1024;

	/** Share of the limit above which new work that can wait should wait. */
	private static final double PRESSURE_SHARE = 0.5;

	/**
	 * Kinds whose holders refuse a request of their own connection, or close it without a
	 * request, and nothing else.
	 */
	private static final Set<Kind> REFUSED_KINDS = EnumSet.of(Kind.BODY, Kind.WAITING, Kind.HEAD, Kind.IDLE);

	/** Share of the limit above which large messages are refused. */
	private static final double FULL_SHARE = 0.9;

	/** Share of the limit above which all requests are refused. */
	private static final double EXHAUSTED_SHARE = 1.1;

	private static final Comparator<Holding> LARGEST = Comparator.comparing((Holding holding) -> holding.kind)
		.thenComparingLong((holding) -> holding.bytes);

	private final DecisionLog decisions = new DecisionLog();

	private final long limit;

	private final Executor executor;

	private final Set<Holding> reclaimable = new LinkedHashSet<>();

	private long held;

	private long peak;

	private long discarded;

	private boolean reclaiming;

	/**
	 * Creates an account.
	 * @param limit number of bytes above which messages are discarded
	 * @param executor runs a task on the event loop after the current one
	 */
	HeldMemory(long limit, Executor executor) {
		this.limit = limit;
		this.executor = Objects.requireNonNull(executor, "executor");
	}

	/**
	 * Opens a holding without bytes.
	 * @param kind kind of the bytes
	 * @param discard discards the message when the account is over its limit
	 * @return the holding
	 */
	Holding open(Kind kind, Runnable discard) {
		return new Holding(kind, Objects.requireNonNull(discard, "discard"));
	}

	/**
	 * Returns whether work that can wait should not be started.
	 * @return whether a large part of the limit is used up
	 */
	boolean underPressure() {
		return this.held > this.limit * PRESSURE_SHARE;
	}

	/**
	 * Returns whether a further message can be held.
	 * @param bytes size of the message
	 * @return whether less than almost the whole limit is used up with it
	 */
	boolean hasRoom(long bytes) {
		return this.held + bytes <= this.limit * FULL_SHARE;
	}

	/**
	 * Returns whether requests have to be refused whatever their size.
	 * @return whether the limit is exceeded although messages have been discarded
	 */
	boolean exhausted() {
		return this.held > this.limit * EXHAUSTED_SHARE;
	}

	/**
	 * Discards idle connections, incomplete heads, waiting requests and requests whose
	 * body is incomplete, the largest of each kind first, until the limit is kept. The
	 * heads that are read in one turn of the event loop can fill the heap, so they are
	 * discarded at once. Must not be called while a response is written.
	 */
	void reclaimFromCallers() {
		while (this.held > this.limit) {
			Optional<Holding> largest = this.reclaimable.stream()
				.filter((holding) -> REFUSED_KINDS.contains(holding.kind))
				.max(LARGEST);
			if (largest.isEmpty()) {
				return;
			}
			discard(largest.get());
		}
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
	 * Returns the number of messages that were discarded.
	 * @return the number
	 */
	long discarded() {
		return this.discarded;
	}

	private void change(long difference) {
		this.held += difference;
		this.peak = Math.max(this.peak, this.held);
		if (this.held > this.limit && !this.reclaiming) {
			// The message that has just grown may be the one to discard.
			this.reclaiming = true;
			this.executor.execute(this::reclaim);
		}
	}

	private void reclaim() {
		try {
			while (this.held > this.limit) {
				Optional<Holding> largest = this.reclaimable.stream().max(LARGEST);
				if (largest.isEmpty() || largest.get().kind == Kind.UNREAD && !canReclaim(this.held - this.limit)) {
					return;
				}
				discard(largest.get());
			}
		}
		finally {
			this.reclaiming = false;
		}
	}

	// Discarding an unread response closes the connection of a caller that may have done
	// nothing unusual, which must at least make room.
	private boolean canReclaim(long bytes) {
		return this.reclaimable.stream().mapToLong((holding) -> holding.bytes).sum() >= bytes;
	}

	private void discard(Holding holding) {
		this.decisions.log("message-discarded", "kind", holding.kind, "bytes", holding.bytes, "held", this.held,
				"limit", this.limit);
		this.discarded++;
		holding.release();
		holding.discard.run();
	}

	/**
	 * Kind of the held bytes. Later kinds are discarded first.
	 */
	enum Kind {

		/** Bytes that cannot be discarded. */
		FIXED,

		/** Response that a peer has yet to read. */
		UNREAD,

		/** Message of a stated length that has not arrived completely. */
		INCOMPLETE,

		/** Request of a caller whose body has not arrived completely. */
		BODY,

		/** Message without a stated length that has not arrived completely. */
		UNBOUNDED,

		/** Request that waits behind others of its connection. */
		WAITING,

		/** Incomplete head of a request. */
		HEAD,

		/** Connection of a caller without a request. */
		IDLE

	}

	/**
	 * Bytes of one holder.
	 */
	final class Holding {

		private Kind kind;

		private final Runnable discard;

		private long bytes;

		private Holding(Kind kind, Runnable discard) {
			this.kind = kind;
			this.discard = discard;
		}

		void kind(Kind value) {
			this.kind = value;
			updateReclaimable();
		}

		private void updateReclaimable() {
			if (this.bytes >= MINIMUM_RECLAIMED_BYTES && this.kind != Kind.FIXED) {
				HeldMemory.this.reclaimable.add(this);
			}
			else {
				HeldMemory.this.reclaimable.remove(this);
			}
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
			updateReclaimable();
			change(difference);
		}

		void release() {
			resize(0);
		}

	}

}
