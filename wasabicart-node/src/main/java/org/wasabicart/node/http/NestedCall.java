package org.wasabicart.node.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.request.Outcomes;
import org.wasabicart.node.request.RunningContext;

/**
 * One nested call on behalf of a running call of the local backend server.
 */
final class NestedCall implements CallListener, CallHandle {

	private final AtomicBoolean cancelled = new AtomicBoolean();

	private final RunningContext parent;

	private final RetryAllowance.Reservation reservation;

	private final CallListener listener;

	private volatile CallHandle downstream;

	private volatile long nestedCallNumber;

	NestedCall(RunningContext parent, RetryAllowance.Reservation reservation, CallListener listener) {
		this.parent = parent;
		this.reservation = reservation;
		this.listener = listener;
	}

	CallHandle start(CallRequest call, CallHandler entry) {
		this.nestedCallNumber = this.parent.addNestedCall(this);
		if (this.nestedCallNumber == 0) {
			this.reservation.returnUnspent(this.reservation.size());
			this.listener.finished(Outcomes.refused(call, RefusalReason.CONTEXT_UNKNOWN, Duration.ZERO));
			return this;
		}
		CallHandle downstreamCall = entry.handle(call, this);
		this.downstream = downstreamCall;
		if (this.cancelled.get()) {
			downstreamCall.cancel();
		}
		return this;
	}

	@Override
	public void finished(CallResponse response) {
		boolean notRun = response.outcome() instanceof Outcome.Refused;
		this.reservation.returnUnspent(notRun ? this.reservation.size() : response.unspentRetryAllowance());
		this.parent.finishNestedCall(this.nestedCallNumber, response);
		this.listener.finished(response);
	}

	@Override
	public void cancel() {
		this.cancelled.set(true);
		CallHandle downstreamCall = this.downstream;
		if (downstreamCall != null) {
			downstreamCall.cancel();
		}
	}

}
