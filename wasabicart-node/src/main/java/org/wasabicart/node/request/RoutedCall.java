package org.wasabicart.node.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.core.routing.RouteDecision;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.ServiceThreshold;

/**
 * Call that is routed to a serving node, with its retries. Attempts run one after
 * another. This object's monitor guards the current attempt, the cancellation and the end
 * of the call; peers and listeners are invoked outside it.
 */
final class RoutedCall implements CallHandle {

	/**
	 * Attempts that may follow refusals which indicate a stale membership view. They do
	 * not spend retries, because no backend server received the call. The limit keeps a
	 * stale view from sending a call to one node after another.
	 */
	private static final int MAXIMUM_REROUTES = 2;

	private final Map<ServiceName, ServiceThreshold> thresholds = new LinkedHashMap<>();

	private final Set<NodeId> excluded = new HashSet<>();

	private final RoutingHandler routing;

	private final CallRequest request;

	private final CallListener listener;

	private final RetryAllowance allowance;

	private Attempt currentAttempt;

	private TaskScheduler.ScheduledTask backoffTask;

	private Outcome nonRefusalOutcome;

	private Outcome lastOutcome;

	private int reroutes;

	private int retries;

	private boolean cancelled;

	private boolean finished;

	RoutedCall(RoutingHandler routing, CallRequest request, CallListener listener, RetryAllowance allowance) {
		this.routing = routing;
		this.request = request;
		this.listener = listener;
		this.allowance = allowance;
	}

	void startAttempt() {
		RequestContext context = this.request.context();
		if (context.remainingNanoseconds(this.routing.ticker().nanoseconds()) <= 0) {
			finish(new Outcome.Refused(RefusalReason.EXPIRED, Duration.ZERO));
			return;
		}
		RouteDecision decision = choose(excludedNodes());
		if (decision instanceof RouteDecision.NotRouted && this.lastOutcome != null
				&& !indicatesStaleView(this.lastOutcome)) {
			// A retry may use a node that was already tried if there is no other.
			decision = choose(Set.of());
		}
		if (decision instanceof RouteDecision.NotRouted notRouted) {
			finish((this.lastOutcome != null) ? this.lastOutcome : notRouted.refusal());
			return;
		}
		send((RouteDecision.Chosen) decision);
	}

	private RouteDecision choose(Set<NodeId> excludedNodes) {
		return this.routing.router()
			.choose(this.request.service(), this.request.context(), this.request.body().length, excludedNodes);
	}

	private synchronized Set<NodeId> excludedNodes() {
		return Set.copyOf(this.excluded);
	}

	private void send(RouteDecision.Chosen chosen) {
		int wanted = this.routing.retryPolicy().retriesToReserve(this.request.service(), this.allowance.available());
		RetryAllowance.Reservation reservation = this.allowance.reserve(wanted);
		Attempt attempt = new Attempt(this, this.routing, chosen.member(), reservation, this.request);
		boolean cancelledBeforeStart;
		synchronized (this) {
			cancelledBeforeStart = this.cancelled;
			this.currentAttempt = attempt;
		}
		if (cancelledBeforeStart) {
			reservation.returnUnspent(reservation.size());
			finish(new Outcome.Refused(RefusalReason.CANCELLED, Duration.ZERO));
			return;
		}
		attempt.start();
	}

	void attemptFinished(Attempt attempt, CallResponse response) {
		synchronized (this) {
			if (this.finished || this.currentAttempt != attempt) {
				return;
			}
			this.currentAttempt = null;
			response.thresholds().forEach((threshold) -> this.thresholds.put(threshold.service(), threshold));
		}
		if (response.outcome() instanceof Outcome.Completed) {
			this.routing.retryPolicy().succeeded(this.request.service());
			finish(response);
			return;
		}
		if (!(response.outcome() instanceof Outcome.Refused)) {
			this.nonRefusalOutcome = response.outcome();
		}
		retryOrFinish(attempt, response.outcome());
	}

	private void retryOrFinish(Attempt attempt, Outcome outcome) {
		synchronized (this) {
			this.excluded.add(attempt.member().id());
			this.lastOutcome = outcome;
		}
		if (cancelled()) {
			finish(outcome);
		}
		else if (indicatesStaleView(outcome) && this.reroutes < MAXIMUM_REROUTES) {
			this.reroutes++;
			startAttempt();
		}
		else if (this.routing.retryPolicy().tryToRetry(this.request, outcome, this.allowance)) {
			retryLater(outcome);
		}
		else {
			finish(outcome);
		}
	}

	private static boolean indicatesStaleView(Outcome outcome) {
		if (!(outcome instanceof Outcome.Refused refused)) {
			return false;
		}
		return switch (refused.reason()) {
			case DRAINING, UNREACHABLE, NO_BACKEND_SERVER -> true;
			default -> false;
		};
	}

	private void retryLater(Outcome outcome) {
		this.retries++;
		long remaining = this.request.context().remainingNanoseconds(this.routing.ticker().nanoseconds());
		OptionalLong delay = this.routing.retryPolicy().backoff(this.retries, remaining);
		synchronized (this) {
			if (delay.isPresent() && !this.cancelled) {
				this.backoffTask = this.routing.scheduler().schedule(delay.getAsLong(), this::startAttempt);
				return;
			}
		}
		finish(outcome);
	}

	private synchronized boolean cancelled() {
		return this.cancelled;
	}

	@Override
	public void cancel() {
		Attempt attempt;
		synchronized (this) {
			this.cancelled = true;
			attempt = this.currentAttempt;
			if (this.backoffTask != null) {
				this.backoffTask.cancel();
			}
		}
		if (attempt != null) {
			attempt.cancel();
		}
		else {
			finish(new Outcome.Refused(RefusalReason.CANCELLED, Duration.ZERO));
		}
	}

	// If an earlier attempt may have run, its outcome is reported instead of a refusal,
	// which would claim that the call did not run.
	private void finish(Outcome outcome) {
		Outcome reported = (outcome instanceof Outcome.Refused && this.nonRefusalOutcome != null)
				? this.nonRefusalOutcome : outcome;
		if (reported instanceof Outcome.Failed failed) {
			reported = new Outcome.Failed(failed.reason(), true);
		}
		finish(new CallResponse(reported, 0, List.of(), List.of(), new byte[0]));
	}

	private void finish(CallResponse response) {
		CallResponse completeResponse;
		synchronized (this) {
			if (this.finished) {
				return;
			}
			this.finished = true;
			completeResponse = new CallResponse(response.outcome(), this.allowance.available(),
					List.copyOf(this.thresholds.values()), response.headers(), response.body());
		}
		this.listener.finished(completeResponse);
	}

	/**
	 * Returns the outcome of an attempt that received no response before its deadline.
	 * @param request call that was attempted
	 * @return the outcome
	 */
	static Outcome timeoutOutcome(CallRequest request) {
		if (request.context().execution() == Execution.ORDER) {
			return new Outcome.Unknown(FailureReason.TIMEOUT);
		}
		return new Outcome.Failed(FailureReason.TIMEOUT, false);
	}

}
