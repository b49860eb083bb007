package org.wasabicart.node.observe;

import java.util.OptionalLong;

import org.jboss.logging.Logger;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.request.RequestFilter;

/**
 * Counts calls and logs those that did not complete, at a bounded rate.
 */
public final class ObservationFilter implements RequestFilter {

	private static final Logger LOGGER = Logger.getLogger(ObservationFilter.class);

	private static final int LINES_PER_SECOND = 20;

	private final Ticker ticker;

	private final NodeMetrics metrics;

	private final boolean serving;

	private final LogLimiter limiter;

	/**
	 * Creates a filter.
	 * @param ticker clock
	 * @param metrics counts the calls
	 * @param serving whether the filter is on the serving side, not on the entry side
	 */
	public ObservationFilter(Ticker ticker, NodeMetrics metrics, boolean serving) {
		this.ticker = ticker;
		this.metrics = metrics;
		this.serving = serving;
		this.limiter = new LogLimiter(ticker, LINES_PER_SECOND);
	}

	@Override
	public CallHandle handle(CallRequest request, CallListener listener, CallHandler next) {
		long start = this.ticker.nanoseconds();
		return next.handle(request, (response) -> {
			finished(request, response.outcome(), this.ticker.nanoseconds() - start);
			listener.finished(response);
		});
	}

	private void finished(CallRequest request, Outcome outcome, long nanoseconds) {
		RequestContext context = request.context();
		CallRole role = this.serving ? CallRole.SERVED : entryRole(context);
		this.metrics.recordCall(role, context, outcome, nanoseconds);
		if (outcome instanceof Outcome.Completed || !LOGGER.isInfoEnabled()) {
			return;
		}
		OptionalLong leftOut = this.limiter.tryToLog();
		if (leftOut.isPresent()) {
			LOGGER.infof(
					"event=call-not-completed role=%s request=%s kind=%s tenant=%s service=%s outcome=%s reason=%s "
							+ "milliseconds=%d linesLeftOut=%d",
					role.label(), context.root(), context.kind(), context.tenant(), request.service(),
					OutcomeText.name(outcome), OutcomeText.reason(outcome), nanoseconds / 1_000_000,
					leftOut.getAsLong());
		}
	}

	private static CallRole entryRole(RequestContext context) {
		return (context.depth() > 0) ? CallRole.NESTED : CallRole.ROOT;
	}

}
