package org.wasabicart.node.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.admission.AdmissionController;
import org.wasabicart.core.admission.AdmissionListener;
import org.wasabicart.core.admission.AdmissionPermit;
import org.wasabicart.core.admission.CallSample;
import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.node.LocalServer;
import org.wasabicart.node.LocalServerHolder;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.ServiceThreshold;

/**
 * Last handler of the serving side: offers a call to the admission controller and sends
 * it to the local backend server once it is admitted.
 */
public final class AdmissionHandler implements CallHandler {

	/** Time until routers no longer choose a restarting or draining backend server. */
	private static final Duration RETRY_AFTER = Duration.ofMillis(500);

	private final Ticker ticker;

	private final LocalServerHolder localServer;

	private final LocalAdmission admission;

	private final BackendClient backendClient;

	/**
	 * Creates a handler.
	 * @param ticker clock of the deadlines
	 * @param localServer announced backend server
	 * @param admission admission controller of the backend server
	 * @param backendClient sends admitted calls to the backend server
	 */
	public AdmissionHandler(Ticker ticker, LocalServerHolder localServer, LocalAdmission admission,
			BackendClient backendClient) {
		this.ticker = ticker;
		this.localServer = localServer;
		this.admission = admission;
		this.backendClient = backendClient;
	}

	@Override
	public CallHandle handle(CallRequest request, CallListener listener) {
		Optional<AdmissionController> controller = this.admission.controller(request.service());
		MemberState state = this.localServer.state();
		if (state == MemberState.DRAINING) {
			return refuse(request, listener, RefusalReason.DRAINING);
		}
		if (state != MemberState.SERVING || controller.isEmpty()) {
			return refuse(request, listener, RefusalReason.NO_BACKEND_SERVER);
		}
		if (request.context().remainingNanoseconds(this.ticker.nanoseconds()) <= 0) {
			return refuse(request, listener, RefusalReason.EXPIRED);
		}
		OfferedCall call = new OfferedCall(controller.get(), request, listener);
		controller.get().offer(request.context(), request.body().length, call);
		return call;
	}

	private static CallHandle refuse(CallRequest request, CallListener listener, RefusalReason reason) {
		listener.finished(Outcomes.refused(request, reason, RETRY_AFTER));
		return Outcomes.ENDED_CALL;
	}

	private final class OfferedCall implements AdmissionListener, BackendListener, CallHandle {

		private final CancellableCall call = new CancellableCall();

		private final AdmissionController controller;

		private final CallRequest request;

		private final CallListener listener;

		private AdmissionPermit permit;

		OfferedCall(AdmissionController controller, CallRequest request, CallListener listener) {
			this.controller = controller;
			this.request = request;
			this.listener = listener;
		}

		@Override
		public void admitted(AdmissionPermit grantedPermit) {
			this.permit = grantedPermit;
			LocalServer server = AdmissionHandler.this.localServer.server().orElse(null);
			RefusalReason reason = refusalReason(server);
			if (reason != null) {
				callEnded(new CallSample(0, CallSample.Result.IGNORED));
				responseReceived(Outcomes.refused(this.request, reason, RETRY_AFTER));
				return;
			}
			this.call.setDownstream(AdmissionHandler.this.backendClient.call(server, this.request, this));
		}

		private RefusalReason refusalReason(LocalServer server) {
			if (this.call.cancelled()) {
				return RefusalReason.CANCELLED;
			}
			if (server == null) {
				return RefusalReason.NO_BACKEND_SERVER;
			}
			long now = AdmissionHandler.this.ticker.nanoseconds();
			return (this.request.context().remainingNanoseconds(now) <= 0) ? RefusalReason.EXPIRED : null;
		}

		@Override
		public void refused(Outcome.Refused refusal) {
			responseReceived(CallResponse.withoutBody(refusal, this.request.context().retryAllowance()));
		}

		@Override
		public void responseReceived(CallResponse response) {
			List<ServiceThreshold> thresholds = new ArrayList<>(response.thresholds());
			thresholds.add(new ServiceThreshold(this.request.service(), this.controller.threshold()));
			this.listener.finished(new CallResponse(response.outcome(), response.unspentRetryAllowance(), thresholds,
					response.headers(), response.body()));
		}

		@Override
		public void callEnded(CallSample sample) {
			this.controller.finished(this.permit, sample);
		}

		@Override
		public void cancel() {
			this.call.cancel();
			if (this.controller.withdraw(this)) {
				responseReceived(Outcomes.refused(this.request, RefusalReason.CANCELLED, Duration.ZERO));
			}
		}

	}

}
