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
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.PeerCall;
import org.wasabicart.node.peer.PeerCallListener;
import org.wasabicart.node.peer.ServiceThreshold;

/**
 * One call on its way through routing and retries. Attempts follow one another; the state
 * is guarded by this object's monitor, and peers and listeners are invoked outside it.
 */
final class RoutedCall implements PeerCall {

	/**
	 * Sends that may follow a refusal which shows that the view was stale. They cost no
	 * retry, since no backend server was involved, and are few, so that a stale view
	 * cannot make a call wander.
	 */
	private static final int MAXIMUM_REROUTES = 2;

	private final Map<ServiceName, ServiceThreshold> thresholds = new LinkedHashMap<>();

	private final Set<NodeId> excluded = new HashSet<>();

	private final RoutingHandler routing;

	private final CallRequest request;

	private final PeerCallListener listener;

	private final RetryAllowance allowance;

	private Attempt current;

	private TaskScheduler.ScheduledTask backoff;

	private Outcome mayHaveRun;

	private Outcome last;

	private int reroutes;

	private int retries;

	private boolean cancelled;

	private boolean finished;

	RoutedCall(RoutingHandler routing, CallRequest request, PeerCallListener listener, RetryAllowance allowance) {
		this.routing = routing;
		this.request = request;
		this.listener = listener;
		this.allowance = allowance;
	}

	void attempt() {
		RequestContext context = this.request.context();
		if (context.remainingNanoseconds(this.routing.ticker().nanoseconds()) <= 0) {
			finish(new Outcome.Refused(RefusalReason.EXPIRED, Duration.ZERO));
			return;
		}
		RouteDecision decision = choose(excluded());
		if (decision instanceof RouteDecision.NotRouted && this.last != null && !staleView(this.last)) {
			// A retry may go to the only member once more.
			decision = choose(Set.of());
		}
		if (decision instanceof RouteDecision.NotRouted notRouted) {
			finish((this.last != null) ? this.last : notRouted.refusal());
			return;
		}
		send((RouteDecision.Chosen) decision);
	}

	private RouteDecision choose(Set<NodeId> without) {
		return this.routing.router()
			.choose(this.request.service(), this.request.context(), this.request.body().length, without);
	}

	private synchronized Set<NodeId> excluded() {
		return Set.copyOf(this.excluded);
	}

	private void send(RouteDecision.Chosen chosen) {
		int wanted = this.routing.retries().share(this.request.service(), this.allowance.available());
		RetryAllowance.Reservation reservation = this.allowance.reserve(wanted);
		Attempt attempt = new Attempt(this, this.routing, chosen.member(), reservation, this.request);
		boolean stopped;
		synchronized (this) {
			stopped = this.cancelled;
			this.current = attempt;
		}
		if (stopped) {
			reservation.giveBack(reservation.size());
			finish(new Outcome.Refused(RefusalReason.CANCELLED, Duration.ZERO));
			return;
		}
		attempt.start();
	}

	void ended(Attempt attempt, CallResponse response) {
		synchronized (this) {
			if (this.finished || this.current != attempt) {
				return;
			}
			this.current = null;
			response.thresholds().forEach((threshold) -> this.thresholds.put(threshold.service(), threshold));
		}
		if (response.outcome() instanceof Outcome.Completed) {
			this.routing.retries().succeeded(this.request.service());
			finish(response);
			return;
		}
		if (!(response.outcome() instanceof Outcome.Refused)) {
			this.mayHaveRun = response.outcome();
		}
		repeatOrFinish(attempt, response.outcome());
	}

	private void repeatOrFinish(Attempt attempt, Outcome outcome) {
		synchronized (this) {
			this.excluded.add(attempt.member().id());
			this.last = outcome;
		}
		if (cancelled()) {
			finish(outcome);
		}
		else if (staleView(outcome) && this.reroutes < MAXIMUM_REROUTES) {
			this.reroutes++;
			attempt();
		}
		else if (this.routing.retries().spend(this.request, outcome, this.allowance)) {
			retryLater(outcome);
		}
		else {
			finish(outcome);
		}
	}

	private static boolean staleView(Outcome outcome) {
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
		OptionalLong delay = this.routing.retries().backoff(this.retries, remaining);
		synchronized (this) {
			if (delay.isPresent() && !this.cancelled) {
				this.backoff = this.routing.scheduler().schedule(delay.getAsLong(), this::attempt);
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
			attempt = this.current;
			if (this.backoff != null) {
				this.backoff.cancel();
			}
		}
		if (attempt != null) {
			attempt.cancel();
		}
		else {
			finish(new Outcome.Refused(RefusalReason.CANCELLED, Duration.ZERO));
		}
	}

	// Ends the call. A refusal of the last attempt does not hide that an earlier attempt
	// may have run.
	private void finish(Outcome outcome) {
		Outcome truthful = (outcome instanceof Outcome.Refused && this.mayHaveRun != null) ? this.mayHaveRun : outcome;
		if (truthful instanceof Outcome.Failed failed) {
			truthful = new Outcome.Failed(failed.reason(), true);
		}
		finish(new CallResponse(truthful, 0, List.of(), List.of(), new byte[0]));
	}

	private void finish(CallResponse response) {
		CallResponse complete;
		synchronized (this) {
			if (this.finished) {
				return;
			}
			this.finished = true;
			complete = new CallResponse(response.outcome(), this.allowance.available(),
					List.copyOf(this.thresholds.values()), response.headers(), response.body());
		}
		this.listener.finished(complete);
	}

	/**
	 * Outcome of an attempt that brought no response by its own deadline.
	 * @param request call
	 * @return the outcome
	 */
	static Outcome timeout(CallRequest request) {
		if (request.context().execution() == Execution.ORDER) {
			return new Outcome.Unknown(FailureReason.TIMEOUT);
		}
		return new Outcome.Failed(FailureReason.TIMEOUT, false);
	}

}
