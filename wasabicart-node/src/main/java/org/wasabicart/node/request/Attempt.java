package org.wasabicart.node.request;

import java.util.concurrent.atomic.AtomicBoolean;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.core.routing.RouteSample;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;

/**
 * Attempt of a routed call at one serving node. It ends with the response or at the
 * deadline of the attempt, whichever comes first.
 */
final class Attempt implements CallListener, CallHandle {

	private final AtomicBoolean ended = new AtomicBoolean();

	private final CancellableCall call = new CancellableCall();

	private final RoutedCall routedCall;

	private final RoutingHandler routing;

	private final Member member;

	private final RetryAllowance.Reservation reservation;

	private final CallRequest request;

	private volatile TaskScheduler.ScheduledTask timer;

	private long startNanoseconds;

	Attempt(RoutedCall routedCall, RoutingHandler routing, Member member, RetryAllowance.Reservation reservation,
			CallRequest request) {
		this.routedCall = routedCall;
		this.routing = routing;
		this.member = member;
		this.reservation = reservation;
		this.request = request;
	}

	Member member() {
		return this.member;
	}

	void start() {
		RequestContext context = this.request.context();
		this.startNanoseconds = this.routing.ticker().nanoseconds();
		long deadline = this.routing.attemptDeadline(this.request.service(), context);
		// DeadlineFilter enforces the deadline of the call. An attempt at an order has no
		// shorter deadline, because an order is not retried after a timeout.
		boolean hasOwnDeadline = context.execution() == Execution.IDEMPOTENT
				&& deadline < context.deadlineNanoseconds();
		if (hasOwnDeadline) {
			this.timer = this.routing.scheduler().schedule(deadline - this.startNanoseconds, this::expire);
		}
		RequestContext attemptContext = new RequestContext(context.root(), context.kind(), context.tenant(),
				context.importance(), context.execution(), hasOwnDeadline ? deadline : context.deadlineNanoseconds(),
				this.reservation.size(), context.depth());
		CallRequest attemptRequest = new CallRequest(attemptContext, this.request.service(), this.request.ticket(),
				false, this.request.method(), this.request.path(), this.request.headers(), this.request.body());
		this.routing.router().callStarted(this.member);
		this.call.setDownstream(this.routing.send(this.member, attemptRequest, this));
	}

	private void expire() {
		end(CallResponse.withoutBody(RoutedCall.timeoutOutcome(this.request), 0));
		this.call.cancel();
	}

	@Override
	public void finished(CallResponse response) {
		end(response);
	}

	private void end(CallResponse response) {
		if (!this.ended.compareAndSet(false, true)) {
			// After a timeout, the reserved retries count as spent, so a late response
			// returns none of them.
			return;
		}
		if (this.timer != null) {
			this.timer.cancel();
		}
		boolean notRun = response.outcome() instanceof Outcome.Refused;
		this.reservation.returnUnspent(notRun ? this.reservation.size() : response.unspentRetryAllowance());
		long latency = this.routing.ticker().nanoseconds() - this.startNanoseconds;
		RouteSample sample = new RouteSample(latency, response.outcome(), this.request.body().length,
				response.body().length);
		this.routing.router().callFinished(this.member, sample);
		this.routedCall.attemptFinished(this, response);
	}

	@Override
	public void cancel() {
		this.call.cancel();
	}

}
