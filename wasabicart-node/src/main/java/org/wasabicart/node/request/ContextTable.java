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
 * Contexts of the calls that run in the local backend server, by handle. Admission limits
 * the number of entries.
 */
public final class ContextTable {

	private static final int HANDLE_BYTES = 16;

	private final ConcurrentMap<String, RunningContext> contexts = new ConcurrentHashMap<>();

	private final SecureRandom random;

	private final IntFunction<RetryAllowance> allowanceFactory;

	private final Ticker ticker;

	/**
	 * Creates an empty table.
	 * @param random random source for handles, which must not be guessable
	 * @param allowanceFactory creates an allowance of the given size
	 * @param ticker measures the time spent in nested calls
	 */
	public ContextTable(SecureRandom random, IntFunction<RetryAllowance> allowanceFactory, Ticker ticker) {
		this.random = random;
		this.allowanceFactory = allowanceFactory;
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
		RetryAllowance allowance = this.allowanceFactory.apply(context.retryAllowance());
		RunningContext running = new RunningContext(HexFormat.of().formatHex(bytes), context, allowance, this.ticker);
		this.contexts.put(running.handle(), running);
		return running;
	}

	/**
	 * Finds a running call.
	 * @param handle handle that the backend server sent
	 * @return the entry, or empty if the handle is unknown or its call has ended
	 */
	public Optional<RunningContext> find(String handle) {
		return Optional.ofNullable(this.contexts.get(handle));
	}

	/**
	 * Removes a running call and cancels its unfinished nested calls.
	 * @param running entry to remove
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
