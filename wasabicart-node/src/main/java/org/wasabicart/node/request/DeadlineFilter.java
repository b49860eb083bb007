package org.wasabicart.node.request;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.PeerCall;
import org.wasabicart.node.peer.PeerCallListener;

/**
 * Responds at the deadline at the latest. An idempotent call is cancelled then; an order
 * that may have started is left running and its outcome reported as unknown.
 */
public final class DeadlineFilter implements RequestFilter {

	/**
	 * Time after the deadline in which a truthful refusal of an order can still arrive,
	 * such as from a queue that drops it at its deadline.
	 */
	private static final long ORDER_MARGIN_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

	private final Ticker ticker;

	private final TaskScheduler scheduler;

	/**
	 * Creates a filter.
	 * @param ticker clock of the deadlines
	 * @param scheduler runs the timers
	 */
	public DeadlineFilter(Ticker ticker, TaskScheduler scheduler) {
		this.ticker = ticker;
		this.scheduler = scheduler;
	}

	@Override
	public PeerCall handle(CallRequest request, PeerCallListener listener, CallHandler next) {
		long remaining = request.context().remainingNanoseconds(this.ticker.nanoseconds());
		boolean order = request.context().execution() == Execution.ORDER;
		// An expired order goes on: its ticket may belong to an order that already ran,
		// and the routing refuses it truthfully otherwise.
		if (remaining <= 0 && !order) {
			listener.finished(Outcomes.refused(request, RefusalReason.EXPIRED, Duration.ZERO));
			return Outcomes.ENDED;
		}
		Guard guard = new Guard(request, listener);
		long delay = order ? Math.max(remaining, 0) + ORDER_MARGIN_NANOSECONDS : remaining;
		guard.timer = this.scheduler.schedule(delay, guard::expire);
		guard.call.follow(next.handle(request, guard));
		return guard.call;
	}

	private static final class Guard implements PeerCallListener {

		private final CancellableCall call = new CancellableCall();

		private final AtomicBoolean finished = new AtomicBoolean();

		private final CallRequest request;

		private final PeerCallListener listener;

		private volatile boolean expired;

		private volatile TaskScheduler.ScheduledTask timer;

		Guard(CallRequest request, PeerCallListener listener) {
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
			finish(this.expired ? Outcomes.withOutcome(response, atDeadline(response.outcome())) : response);
		}

		private void finish(CallResponse response) {
			if (this.finished.compareAndSet(false, true)) {
				this.timer.cancel();
				this.listener.finished(response);
			}
		}

		private static Outcome atDeadline(Outcome outcome) {
			if (outcome instanceof Outcome.Refused) {
				return new Outcome.Refused(RefusalReason.EXPIRED, Duration.ZERO);
			}
			return new Outcome.Failed(FailureReason.TIMEOUT, true);
		}

	}

}
