package org.wasabicart.core.order;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToLongFunction;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.TenantName;

/**
 * Tickets of one node. A ticket begins at most once, unless its order is proven not to
 * have run. A full table refuses new tickets rather than evict one that can still begin
 * or be queried before it expires. This class is thread-safe.
 * <p>
 * Time advances only in {@link #tick()}, by a bounded step per call, so that a pause of
 * the process does not expire tickets whose frames are still in a socket buffer.
 *
 * @param <R> type of the results
 */
public final class TicketTable<R> {

	private static final long MAXIMUM_STEP_NANOSECONDS = 2_000_000_000L;

	private final TicketLimits limits;

	private final ToLongFunction<R> weigher;

	private final Ticker ticker;

	private final Map<String, Entry<R>> entries = new HashMap<>();

	// Finished entries with a result, oldest first.
	private final Deque<Entry<R>> results = new ArrayDeque<>();

	private long resultBytes;

	private long lastTick;

	private long now;

	/**
	 * Creates an empty table.
	 * @param limits size and time limits
	 * @param weigher returns the size of a result in bytes
	 * @param ticker monotonic clock
	 */
	public TicketTable(TicketLimits limits, ToLongFunction<R> weigher, Ticker ticker) {
		this.limits = Objects.requireNonNull(limits, "limits");
		this.weigher = Objects.requireNonNull(weigher, "weigher");
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.lastTick = ticker.nanoseconds();
	}

	/**
	 * Reserves a new ticket.
	 * @param ticket ticket
	 * @param tenant tenant that owns the ticket
	 * @return whether the ticket was added; it is not if the table is full or already
	 * contains it
	 */
	public synchronized boolean reserve(String ticket, TenantName tenant) {
		return !this.entries.containsKey(ticket) && add(ticket, tenant, TicketState.RESERVED);
	}

	/**
	 * Begins a reserved order.
	 * @param ticket ticket
	 * @param tenant tenant that requests it
	 * @return {@code STARTED} if the caller must run the order; no other caller receives
	 * it until the order is released or removed, or its ticket expires
	 */
	public synchronized BeginResult begin(String ticket, TenantName tenant) {
		Entry<R> entry = this.entries.get(ticket);
		if (entry == null) {
			return BeginResult.ABSENT;
		}
		if (!entry.tenant.equals(tenant)) {
			return BeginResult.OTHER_TENANT;
		}
		return switch (entry.state) {
			case RUNNING -> BeginResult.RUNNING;
			case FINISHED -> BeginResult.FINISHED;
			case BARRED -> BeginResult.BARRED;
			default -> {
				setState(entry, TicketState.RUNNING);
				yield BeginResult.STARTED;
			}
		};
	}

	/**
	 * Begins an order whose ticket another node reserved.
	 * @param ticket ticket
	 * @param tenant tenant of the order
	 * @return {@code STARTED} if the caller must run the order; no other caller receives
	 * it until the order is released or removed, or its ticket expires
	 */
	public synchronized BeginResult beginUnreserved(String ticket, TenantName tenant) {
		if (!this.entries.containsKey(ticket)) {
			return add(ticket, tenant, TicketState.RUNNING) ? BeginResult.STARTED : BeginResult.FULL;
		}
		return begin(ticket, tenant);
	}

	/**
	 * Finishes an order that ran or may have run. Discards the oldest results if their
	 * total size exceeds the limit.
	 * @param ticket ticket
	 * @param result result to retain
	 */
	public synchronized void finish(String ticket, R result) {
		Entry<R> entry = this.entries.get(ticket);
		if (entry == null || entry.state != TicketState.RUNNING) {
			return;
		}
		setState(entry, TicketState.FINISHED);
		entry.result = Objects.requireNonNull(result, "result");
		this.resultBytes += this.weigher.applyAsLong(result);
		this.results.add(entry);
		while (this.resultBytes > this.limits.maximumResultBytes()) {
			dropResult(this.results.remove());
		}
	}

	/**
	 * Returns a running order to the reserved state, because it is proven not to have
	 * run.
	 * @param ticket ticket
	 */
	public synchronized void release(String ticket) {
		Entry<R> entry = this.entries.get(ticket);
		if (entry != null && entry.state == TicketState.RUNNING) {
			setState(entry, TicketState.RESERVED);
		}
	}

	/**
	 * Removes a running order, because it is proven not to have run, or because no caller
	 * can refer to its ticket any more.
	 * @param ticket ticket
	 */
	public synchronized void removeRunning(String ticket) {
		Entry<R> entry = this.entries.get(ticket);
		if (entry != null && entry.state == TicketState.RUNNING) {
			this.entries.remove(ticket);
		}
	}

	/**
	 * Returns the state of a ticket.
	 * @param ticket ticket
	 * @return the state, with the retained result of a finished ticket
	 */
	public synchronized TicketStatus<R> status(String ticket) {
		Entry<R> entry = this.entries.get(ticket);
		if (entry == null) {
			return new TicketStatus<>(TicketState.ABSENT, Optional.empty());
		}
		return new TicketStatus<>(entry.state, Optional.ofNullable(entry.result));
	}

	/**
	 * Returns the tenant of a ticket.
	 * @param ticket ticket
	 * @return the tenant, or empty if the ticket is unknown
	 */
	public synchronized Optional<TenantName> tenant(String ticket) {
		return Optional.ofNullable(this.entries.get(ticket)).map((entry) -> entry.tenant);
	}

	/**
	 * Bars a ticket that has not begun, so that a call that is still in transit cannot
	 * begin it.
	 * @param ticket ticket
	 * @param tenant tenant of the order
	 * @return {@code BARRED} if the ticket never began and never will;
	 * {@code UNDETERMINED} if a full table does not contain it; its state otherwise
	 */
	public synchronized TicketStatus<R> bar(String ticket, TenantName tenant) {
		Entry<R> entry = this.entries.get(ticket);
		if (entry == null && !add(ticket, tenant, TicketState.BARRED)) {
			return new TicketStatus<>(TicketState.UNDETERMINED, Optional.empty());
		}
		if (entry != null && entry.state == TicketState.RESERVED) {
			setState(entry, TicketState.BARRED);
		}
		return status(ticket);
	}

	/**
	 * Advances the time of the table and removes expired tickets. Must be called once per
	 * second.
	 */
	public synchronized void tick() {
		long current = this.ticker.nanoseconds();
		this.now += Math.min(MAXIMUM_STEP_NANOSECONDS, Math.max(0, current - this.lastTick));
		this.lastTick = current;
		Iterator<Entry<R>> iterator = this.entries.values().iterator();
		while (iterator.hasNext()) {
			Entry<R> entry = iterator.next();
			if (isExpired(entry)) {
				iterator.remove();
				if (entry.result != null) {
					this.results.remove(entry);
					dropResult(entry);
				}
			}
		}
	}

	private boolean isExpired(Entry<R> entry) {
		long age = this.now - entry.stateChangedAt;
		return switch (entry.state) {
			case RESERVED -> age >= this.limits.reservationPeriod().toNanos();
			case FINISHED, BARRED -> age >= this.limits.retentionPeriod().toNanos();
			default -> false;
		};
	}

	private boolean add(String ticket, TenantName tenant, TicketState state) {
		if (this.entries.size() >= this.limits.maximumTickets()) {
			return false;
		}
		Entry<R> entry = new Entry<>(tenant);
		setState(entry, state);
		this.entries.put(ticket, entry);
		return true;
	}

	private void setState(Entry<R> entry, TicketState state) {
		entry.state = state;
		entry.stateChangedAt = this.now;
	}

	private void dropResult(Entry<R> entry) {
		this.resultBytes -= this.weigher.applyAsLong(entry.result);
		entry.result = null;
	}

	/**
	 * Returns the number of tickets in all states.
	 * @return the number
	 */
	public synchronized int size() {
		return this.entries.size();
	}

	/**
	 * Returns the total size of the retained results.
	 * @return number of bytes
	 */
	public synchronized long resultBytes() {
		return this.resultBytes;
	}

	private static final class Entry<R> {

		private final TenantName tenant;

		private TicketState state;

		private long stateChangedAt;

		private R result;

		Entry(TenantName tenant) {
			this.tenant = tenant;
		}

	}

}
