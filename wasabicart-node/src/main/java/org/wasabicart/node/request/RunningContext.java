package org.wasabicart.node.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.ServiceThreshold;

/**
 * Context of one call that runs in the local backend server, with the results of its
 * nested calls. Safe for use by several threads.
 */
public final class RunningContext {

	private final Map<ServiceName, ServiceThreshold> thresholds = new LinkedHashMap<>();

	private final Map<Long, CallHandle> nestedCalls = new LinkedHashMap<>();

	private final String handle;

	private final RequestContext context;

	private final RetryAllowance allowance;

	private final Ticker ticker;

	private long lastNestedCallNumber;

	private long nestedStartNanoseconds;

	private long nestedNanoseconds;

	private boolean nestedFailed;

	private boolean closed;

	RunningContext(String handle, RequestContext context, RetryAllowance allowance, Ticker ticker) {
		this.handle = handle;
		this.context = context;
		this.allowance = allowance;
		this.ticker = ticker;
	}

	/**
	 * Returns the handle that the backend server copies to its nested calls.
	 * @return 32 hexadecimal digits
	 */
	public String handle() {
		return this.handle;
	}

	/**
	 * Returns the context of the running call.
	 * @return the context
	 */
	public RequestContext context() {
		return this.context;
	}

	/**
	 * Returns the allowance that the nested calls share.
	 * @return the allowance
	 */
	public RetryAllowance allowance() {
		return this.allowance;
	}

	/**
	 * Adds a nested call.
	 * @param call handle to cancel it
	 * @return number of the nested call, or zero if the running call has ended
	 */
	public synchronized long addNestedCall(CallHandle call) {
		if (this.closed) {
			return 0;
		}
		if (this.nestedCalls.isEmpty()) {
			this.nestedStartNanoseconds = this.ticker.nanoseconds();
		}
		this.lastNestedCallNumber++;
		this.nestedCalls.put(this.lastNestedCallNumber, call);
		return this.lastNestedCallNumber;
	}

	/**
	 * Finishes a nested call.
	 * @param number number of the nested call
	 * @param response its response
	 */
	public synchronized void finishNestedCall(long number, CallResponse response) {
		if (this.nestedCalls.remove(number) == null) {
			return;
		}
		if (this.nestedCalls.isEmpty()) {
			this.nestedNanoseconds += this.ticker.nanoseconds() - this.nestedStartNanoseconds;
		}
		response.thresholds().forEach((threshold) -> this.thresholds.put(threshold.service(), threshold));
		this.nestedFailed |= !(response.outcome() instanceof Outcome.Completed);
	}

	/**
	 * Ends the running call and cancels its unfinished nested calls.
	 */
	void close() {
		List<CallHandle> unfinished;
		synchronized (this) {
			this.closed = true;
			unfinished = List.copyOf(this.nestedCalls.values());
			if (!unfinished.isEmpty()) {
				this.nestedNanoseconds += this.ticker.nanoseconds() - this.nestedStartNanoseconds;
			}
			this.nestedCalls.clear();
		}
		unfinished.forEach(CallHandle::cancel);
	}

	/**
	 * Returns the latest thresholds that responses to nested calls carried.
	 * @return a copy
	 */
	public synchronized List<ServiceThreshold> thresholds() {
		return List.copyOf(this.thresholds.values());
	}

	/**
	 * Returns the total time during which at least one nested call was running.
	 * @return nanoseconds
	 */
	public synchronized long nestedNanoseconds() {
		return this.nestedNanoseconds;
	}

	/**
	 * Returns whether a nested call did not complete. If so, a failure of the running
	 * call must not be retried at this hop.
	 * @return whether a nested call failed, was refused or has an unknown outcome
	 */
	public synchronized boolean nestedFailed() {
		return this.nestedFailed;
	}

}
