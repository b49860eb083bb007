package org.wasabicart.node.request;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.model.ServicePolicy;
import org.wasabicart.core.routing.Router;
import org.wasabicart.node.ConfigurationHolder;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.PeerTransport;

/**
 * Last handler of the entry side: sends a call to a serving node, and retries it as the
 * retry policy allows.
 */
public final class RoutingHandler implements CallHandler {

	private final NodeId self;

	private final Ticker ticker;

	private final TaskScheduler scheduler;

	private final ConfigurationHolder configuration;

	private final Router router;

	private final RetryPolicy retryPolicy;

	private final PeerTransport transport;

	private final CallHandler serving;

	/**
	 * Creates a handler.
	 * @param self this node
	 * @param ticker clock of the deadlines
	 * @param scheduler schedules retries and the deadlines of attempts
	 * @param configuration configuration in force
	 * @param router chooses serving nodes
	 * @param retryPolicy decides on retries
	 * @param transport sends calls to peers
	 * @param serving serving side of this node, for calls to the local backend server
	 */
	public RoutingHandler(NodeId self, Ticker ticker, TaskScheduler scheduler, ConfigurationHolder configuration,
			Router router, RetryPolicy retryPolicy, PeerTransport transport, CallHandler serving) {
		this.self = self;
		this.ticker = ticker;
		this.scheduler = scheduler;
		this.configuration = configuration;
		this.router = router;
		this.retryPolicy = retryPolicy;
		this.transport = transport;
		this.serving = serving;
	}

	@Override
	public CallHandle handle(CallRequest request, CallListener listener) {
		RoutedCall call = new RoutedCall(this, request, listener, this.retryPolicy.allowance(request));
		call.startAttempt();
		return call;
	}

	Ticker ticker() {
		return this.ticker;
	}

	TaskScheduler scheduler() {
		return this.scheduler;
	}

	Router router() {
		return this.router;
	}

	RetryPolicy retryPolicy() {
		return this.retryPolicy;
	}

	CallHandle send(Member member, CallRequest request, CallListener listener) {
		if (member.id().equals(this.self)) {
			return this.serving.handle(request, listener);
		}
		return this.transport.send(member.address(), request, listener);
	}

	/**
	 * Returns the deadline of an attempt that starts now.
	 * @param service service to call
	 * @param context context of the call
	 * @return deadline as a time of the local ticker, no later than the deadline of the
	 * call
	 */
	long attemptDeadline(ServiceName service, RequestContext context) {
		long latest = context.deadlineNanoseconds();
		return this.configuration.current()
			.service(service)
			.map(ServicePolicy::attemptDeadline)
			.map((limit) -> Math.min(latest, this.ticker.nanoseconds() + limit.toNanos()))
			.orElse(latest);
	}

}
