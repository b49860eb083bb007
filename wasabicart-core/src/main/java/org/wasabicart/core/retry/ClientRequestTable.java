package org.wasabicart.core.retry;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.RequestId;
import org.wasabicart.core.model.TenantName;

/**
 * Remembers the retry allowances of root requests at their entry node, so that repeated
 * sends of one request id by the client draw on one allowance. The number of entries is
 * bounded: a new request displaces the oldest one that is not running, and is refused if
 * all are running. Safe for use by several threads.
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

	/** In the order of the last end, or of the start for those that never ended. */
	private final Map<Key, Request> requests = new LinkedHashMap<>();

	/**
	 * Creates a table with the default bounds.
	 * @param ticker clock
	 */
	public ClientRequestTable(Ticker ticker) {
		this(DEFAULT_CAPACITY, DEFAULT_RETENTION, ticker);
	}

	/**
	 * Creates a table.
	 * @param capacity most entries
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
	 * the first, unless all earlier sends have ended and never ran.
	 * @param tenant tenant
	 * @param id request id
	 * @param retryAllowance allowance of the kind, used for the first send only
	 * @return the decision, with the allowance that all sends share
	 */
	public synchronized Entry begin(TenantName tenant, RequestId id, int retryAllowance) {
		long now = this.ticker.nanoseconds();
		expire(now);
		Key key = new Key(tenant, id);
		Request known = this.requests.get(key);
		if (known != null) {
			boolean free = known.running == 0 && !known.mayHaveRun;
			boolean spent = free || known.allowance.tryToSpend();
			known.running += spent ? 1 : 0;
			return new Entry(spent ? Decision.ADMITTED : Decision.ALLOWANCE_SPENT, known.allowance);
		}
		RetryAllowance allowance = RetryAllowances.bounded(retryAllowance);
		if (this.requests.size() >= this.capacity && !displace()) {
			return new Entry(Decision.TABLE_FULL, allowance);
		}
		Request request = new Request(allowance);
		request.running = 1;
		this.requests.put(key, request);
		return new Entry(Decision.ADMITTED, allowance);
	}

	/**
	 * Ends one admitted send. The request is remembered for the retention time.
	 * @param tenant tenant
	 * @param id request id
	 * @param neverRan whether the send was refused, so that it made no attempt
	 */
	public synchronized void end(TenantName tenant, RequestId id, boolean neverRan) {
		Key key = new Key(tenant, id);
		Request request = this.requests.get(key);
		if (request == null || request.running == 0) {
			return;
		}
		request.running--;
		request.mayHaveRun |= !neverRan;
		request.ended = this.ticker.nanoseconds();
		this.requests.remove(key);
		this.requests.put(key, request);
	}

	/**
	 * Returns the number of entries.
	 * @return number of entries
	 */
	public synchronized int size() {
		return this.requests.size();
	}

	private void expire(long now) {
		Iterator<Request> iterator = this.requests.values().iterator();
		while (iterator.hasNext()) {
			Request request = iterator.next();
			if (request.running > 0 || now - request.ended < this.retention) {
				return;
			}
			iterator.remove();
		}
	}

	private boolean displace() {
		Iterator<Request> iterator = this.requests.values().iterator();
		while (iterator.hasNext()) {
			if (iterator.next().running == 0) {
				iterator.remove();
				return true;
			}
		}
		return false;
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
	 * Decision with the allowance.
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

		private int running;

		private boolean mayHaveRun;

		private long ended;

		private Request(RetryAllowance allowance) {
			this.allowance = allowance;
		}

	}

}
