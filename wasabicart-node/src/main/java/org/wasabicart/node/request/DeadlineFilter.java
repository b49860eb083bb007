package org.wasabicart.node.request;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;

/**
 * Responds when the deadline of a call passes, unless its response arrives earlier. An
 * idempotent call is cancelled then. An order may have begun, so shortly after its
 * deadline its outcome is reported as unknown, and it is not cancelled.
 */
public final class DeadlineFilter implements RequestFilter {

	/**
	 * Time after the deadline of an order in which a refusal can still arrive, for
	 * example from a queue that drops the order at its deadline. A refusal proves that
	 * the order did not run.
	 */
	private static final long ORDER_GRACE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

	private final Ticker ticker;

	private final TaskScheduler scheduler;

	/**
	 * Creates a filter.
	 * @param ticker clock of the deadlines
	 * @param scheduler schedules the deadline timers
	 */
	public DeadlineFilter(Ticker ticker, TaskScheduler scheduler) {
		this.ticker = ticker;
		this.scheduler = scheduler;
	}

	@Override
	public CallHandle handle(CallRequest request, CallListener listener, CallHandler next) {
		long remaining = request.context().remainingNanoseconds(this.ticker.nanoseconds());
		boolean order = request.context().execution() == Execution.ORDER;
		// An expired order is passed on, because an earlier request with its ticket may
		// have run it. If none has, the routing refuses it as expired.
		if (remaining <= 0 && !order) {
			listener.finished(Outcomes.refused(request, RefusalReason.EXPIRED, Duration.ZERO));
			return Outcomes.ENDED_CALL;
		}
		PendingCall pending = new PendingCall(request, listener);
		long delay = order ? Math.max(remaining, 0) + ORDER_GRACE_NANOSECONDS : remaining;
		pending.timer = this.scheduler.schedule(delay, pending::expire);
		pending.call.setDownstream(next.handle(request, pending));
		return pending.call;
	}

	private static final class PendingCall implements CallListener {

		private final CancellableCall call = new CancellableCall();

		private final AtomicBoolean finished = new AtomicBoolean();

		private final CallRequest request;

		private final CallListener listener;

		private volatile boolean expired;

		private volatile TaskScheduler.ScheduledTask timer;

		PendingCall(CallRequest request, CallListener listener) {
			this.request = request;
			this.listener = listener;
		}

		void expire() {
			this.expired = true;
			if (this.request.context().execution() == Execution.ORDER) {
				finish(CallResponse.withoutBody(new Outcome.Unknown(FailureReason.TIMEOUT), 0));
				return;
			}
			this.call.cancel();
			finish(CallResponse.withoutBody(new Outcome.Failed(FailureReason.TIMEOUT, true), 0));
		}

		@Override
		public void finished(CallResponse response) {
			finish(this.expired ? Outcomes.withOutcome(response, outcomeAfterDeadline(response.outcome())) : response);
		}

		private void finish(CallResponse response) {
			if (this.finished.compareAndSet(false, true)) {
				this.timer.cancel();
				this.listener.finished(response);
			}
		}

		private static Outcome outcomeAfterDeadline(Outcome outcome) {
			if (outcome instanceof Outcome.Refused) {
				return new Outcome.Refused(RefusalReason.EXPIRED, Duration.ZERO);
			}
			return new Outcome.Failed(FailureReason.TIMEOUT, true);
		}

	}

}
