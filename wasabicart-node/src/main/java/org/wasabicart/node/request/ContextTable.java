package org.wasabicart.node.request;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.IntFunction;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.retry.RetryAllowance;

/**
 * Contexts of the calls that run in the local backend server, by handle. The number of
 * entries is bounded by admission.
 */
public final class ContextTable {

	private static final int HANDLE_BYTES = 16;

	private final ConcurrentMap<String, RunningContext> contexts = new ConcurrentHashMap<>();

	private final SecureRandom random;

	private final IntFunction<RetryAllowance> allowances;

	private final Ticker ticker;

	/**
	 * Creates an empty table.
	 * @param random source of handles, which must not be guessable
	 * @param allowances creates an allowance of a size
	 * @param ticker clock for the time spent in nested calls
	 */
	public ContextTable(SecureRandom random, IntFunction<RetryAllowance> allowances, Ticker ticker) {
		this.random = random;
		this.allowances = allowances;
		this.ticker = ticker;
	}

	/**
	 * Adds a running call.
	 * @param context context of the call
	 * @return the entry with a new handle
	 */
	public RunningContext open(RequestContext context) {
		byte[] bytes = new byte[HANDLE_BYTES];
		this.random.nextBytes(bytes);
		RetryAllowance allowance = this.allowances.apply(context.retryAllowance());
		RunningContext running = new RunningContext(HexFormat.of().formatHex(bytes), context, allowance, this.ticker);
		this.contexts.put(running.handle(), running);
		return running;
	}

	/**
	 * Finds a running call.
	 * @param handle handle
	 * @return the entry, or empty if the handle is unknown or its call has ended
	 */
	public Optional<RunningContext> find(String handle) {
		return Optional.ofNullable(this.contexts.get(handle));
	}

	/**
	 * Removes a running call and cancels what is left of its nested calls.
	 * @param running entry
	 */
	public void close(RunningContext running) {
		this.contexts.remove(running.handle());
		running.close();
	}

	/**
	 * Returns the number of running calls.
	 * @return number of entries
	 */
	public int size() {
		return this.contexts.size();
	}

}
