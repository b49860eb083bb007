package org.wasabicart.core.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.RequestId;
import org.wasabicart.core.model.TenantName;

/**
 * Remembers the retry allowances of root requests at their entry node, so that repeated
 * sends of one request id by the client share one allowance. The number of entries is
 * bounded: a new request evicts the one that ended first, and is refused if all are
 * running. Safe for use by several threads.
 * <p>
 * Example: <pre>{@code
 * ClientRequestTable.Entry entry = table.begin(tenant, requestId, kind.retryAllowance());
 * if (entry.decision() == ClientRequestTable.Decision.ADMITTED) {
 *     // run the request with entry.allowance(), then:
 *     table.end(tenant, requestId, neverRan);
 * }
 * }</pre>
 */
public final class ClientRequestTable {

	/** Default number of entries. */
	public static final int DEFAULT_CAPACITY = 20_000;

	/** Default time for which an ended request is remembered. */
	public static final Duration DEFAULT_RETENTION = Duration.ofSeconds(30);

	private final int capacity;

	private final long retention;

	private final Ticker ticker;

	private final Map<Key, Request> running = new HashMap<>();

	/** Requests of which no send is running, in the order in which they ended. */
	private final Map<Key, Request> ended = new LinkedHashMap<>();

	/**
	 * Creates a table with the default bounds.
	 * @param ticker clock
	 */
	public ClientRequestTable(Ticker ticker) {
		this(DEFAULT_CAPACITY, DEFAULT_RETENTION, ticker);
	}

	/**
	 * Creates a table.
	 * @param capacity maximum number of entries
	 * @param retention time for which an ended request is remembered
	 * @param ticker clock
	 */
	public ClientRequestTable(int capacity, Duration retention, Ticker ticker) {
		if (capacity < 1) {
			throw new IllegalArgumentException("Capacity must be positive: " + capacity);
		}
		this.capacity = capacity;
		this.retention = retention.toNanos();
		this.ticker = Objects.requireNonNull(ticker, "ticker");
	}

	/**
	 * Begins one send of a request. A repeated send takes one retry from the allowance of
	 * the first, unless all earlier sends have ended without running.
	 * @param tenant tenant
	 * @param id request id
	 * @param retryAllowance allowance of the kind, used for the first send only
	 * @return the decision, with the allowance that all sends share
	 */
	public synchronized Entry begin(TenantName tenant, RequestId id, int retryAllowance) {
		long now = this.ticker.nanoseconds();
		expire(now);
		Key key = new Key(tenant, id);
		Request known = this.running.containsKey(key) ? this.running.get(key) : this.ended.get(key);
		if (known != null) {
			return repeat(key, known);
		}
		RetryAllowance allowance = RetryAllowances.bounded(retryAllowance);
		if (size() >= this.capacity && !evictOldest()) {
			return new Entry(Decision.TABLE_FULL, allowance);
		}
		Request request = new Request(allowance);
		request.runningSends = 1;
		this.running.put(key, request);
		return new Entry(Decision.ADMITTED, allowance);
	}

	private Entry repeat(Key key, Request known) {
		boolean neverRan = known.runningSends == 0 && !known.mayHaveRun;
		if (!neverRan && !known.allowance.tryToSpend()) {
			return new Entry(Decision.ALLOWANCE_SPENT, known.allowance);
		}
		known.runningSends++;
		this.ended.remove(key);
		this.running.put(key, known);
		return new Entry(Decision.ADMITTED, known.allowance);
	}

	/**
	 * Ends one admitted send. The request is remembered for the retention time.
	 * @param tenant tenant
	 * @param id request id
	 * @param neverRan whether the send was refused, so that it made no attempt
	 */
	public synchronized void end(TenantName tenant, RequestId id, boolean neverRan) {
		Key key = new Key(tenant, id);
		Request request = this.running.get(key);
		if (request == null) {
			return;
		}
		request.runningSends--;
		request.mayHaveRun |= !neverRan;
		if (request.runningSends == 0) {
			request.endTime = this.ticker.nanoseconds();
			this.running.remove(key);
			this.ended.put(key, request);
		}
	}

	/**
	 * Returns the number of entries.
	 * @return number of entries
	 */
	public synchronized int size() {
		return this.running.size() + this.ended.size();
	}

	private void expire(long now) {
		Iterator<Request> iterator = this.ended.values().iterator();
		while (iterator.hasNext() && now - iterator.next().endTime >= this.retention) {
			iterator.remove();
		}
	}

	private boolean evictOldest() {
		Iterator<Request> iterator = this.ended.values().iterator();
		if (!iterator.hasNext()) {
			return false;
		}
		iterator.next();
		iterator.remove();
		return true;
	}

	/**
	 * Decision on one send of a request.
	 */
	public enum Decision {

		/** The send may run. */
		ADMITTED,

		/** Earlier sends and retries have used the whole allowance. */
		ALLOWANCE_SPENT,

		/** All entries belong to running requests. */
		TABLE_FULL

	}

	/**
	 * Decision on one send, with the allowance of the request.
	 *
	 * @param decision decision
	 * @param allowance allowance that all sends of the request share
	 */
	public record Entry(Decision decision, RetryAllowance allowance) {

	}

	private record Key(TenantName tenant, RequestId id) {

	}

	private static final class Request {

		private final RetryAllowance allowance;

		private int runningSends;

		private boolean mayHaveRun;

		private long endTime;

		private Request(RetryAllowance allowance) {
			this.allowance = allowance;
		}

	}

}
