package org.wasabicart.node.request;

import java.util.Optional;

import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.routing.EarlyRefusal;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;

/**
 * Refuses root requests that a deeper service would refuse, and records the thresholds of
 * the services from responses. Nested calls are not checked, because the thresholds known
 * for a kind include those of services that have already admitted the root request.
 */
public final class EarlyRefusalFilter implements RequestFilter {

	private final EarlyRefusal earlyRefusal;

	private final ThresholdRegister register;

	/**
	 * Creates a filter.
	 * @param earlyRefusal decides whether to refuse a request
	 * @param register records the latest thresholds
	 */
	public EarlyRefusalFilter(EarlyRefusal earlyRefusal, ThresholdRegister register) {
		this.earlyRefusal = earlyRefusal;
		this.register = register;
	}

	@Override
	public CallHandle handle(CallRequest request, CallListener listener, CallHandler next) {
		if (request.context().depth() > 0) {
			return next.handle(request, listener);
		}
		Optional<Outcome.Refused> refusal = this.earlyRefusal.check(request.context());
		if (refusal.isPresent()) {
			listener.finished(CallResponse.withoutBody(refusal.get(), request.context().retryAllowance()));
			return Outcomes.ENDED_CALL;
		}
		return next.handle(request, (response) -> {
			this.register.record(response.thresholds());
			response.thresholds()
				.forEach((threshold) -> this.earlyRefusal.recordThreshold(request.context().kind(), threshold.service(),
						threshold.threshold()));
			listener.finished(response);
		});
	}

}
