package org.wasabicart.node.request;

import java.time.Duration;
import java.util.List;

import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;

/**
 * Creates responses and copies of calls that several steps of the request path need.
 */
public final class Outcomes {

	/** Handle of a call that has already ended. */
	static final CallHandle ENDED_CALL = () -> {
	};

	private Outcomes() {
	}

	/**
	 * Creates the refusal of a call that this node did not forward. The whole retry
	 * allowance of the call is unspent.
	 * @param request call to refuse
	 * @param reason reason for the refusal
	 * @param retryAfter suggested delay before a retry
	 * @return the response
	 */
	public static CallResponse refused(CallRequest request, RefusalReason reason, Duration retryAfter) {
		return CallResponse.withoutBody(new Outcome.Refused(reason, retryAfter), request.context().retryAllowance());
	}

	/**
	 * Returns a copy of a call with another retry allowance.
	 * @param request call
	 * @param allowance retries that the call and its nested calls may use
	 * @return the copy
	 */
	public static CallRequest withAllowance(CallRequest request, int allowance) {
		RequestContext context = request.context();
		RequestContext changedContext = new RequestContext(context.root(), context.kind(), context.tenant(),
				context.importance(), context.execution(), context.deadlineNanoseconds(), allowance, context.depth());
		return new CallRequest(changedContext, request.service(), request.ticket(), request.toHome(), request.method(),
				request.path(), request.headers(), request.body());
	}

	static CallResponse withOutcome(CallResponse response, Outcome outcome) {
		return new CallResponse(outcome, response.unspentRetryAllowance(), response.thresholds(), List.of(),
				new byte[0]);
	}

}
