package org.wasabicart.mesh;

import java.net.SocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.GateRefusal;
import org.wasabicart.core.mesh.MemberStatus;
import org.wasabicart.core.mesh.MeshConfiguration;
import org.wasabicart.core.mesh.MeshRoute;
import org.wasabicart.core.mesh.PlannedStop;
import org.wasabicart.core.mesh.RequestOutcome;
import org.wasabicart.core.mesh.WeightedRoundRobin;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.workspace.Workspace;
import org.wasabicart.mesh.allotment.AllotmentPermit;
import org.wasabicart.mesh.allotment.FleetAllotments;
import org.wasabicart.mesh.capacity.CapacityTracker;
import org.wasabicart.mesh.workspace.AccessDecision;
import org.wasabicart.mesh.workspace.RejectionReason;
import org.wasabicart.mesh.workspace.WorkspaceAccess;

/**
 * Routes each request of a caller to a backend server, and decides whether to send it to
 * another server when the first one refuses the call or fails.
 */
final class EntryRouter implements EntryHandler {

	private static final Logger logger = Logger.getLogger(EntryRouter.class);

	/** Time for which a server is not chosen after a refusal as unreachable. */
	private static final long UNREACHABLE_AVOIDANCE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

	/** Time for which a server is not chosen after a refusal as draining or replaced. */
	private static final long DRAINING_AVOIDANCE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	/** Sends beyond the route's maximum attempts, since a refused send costs little. */
	private static final int MAXIMUM_EXTRA_SENDS = 3;

	/** Refusals for rate limits after which the request is not sent again. */
	private static final int MAXIMUM_RATE_LIMIT_REFUSALS = 3;

	/**
	 * Size of header fields and body from which a request is refused when the node is
	 * short of memory.
	 */
	private static final int LARGE_REQUEST_BYTES = 8 * 1024;

	private final EntryRequestReader reader;

	private final WorkspaceAccess access;

	private final EventLoop eventLoop;

	private final Destinations destinations;

	private final EntryLimits limits;

	private final EarlyRepeats earlyRepeats;

	private final MeshMetrics metrics;

	private final DecisionLog decisions;

	private final LongSupplier receiveDelay;

	private final HeldMemory memory;

	private final CapacityTracker capacity;

	private final FleetAllotments allotments;

	private final Map<String, WeightedRoundRobin> roundRobins = new HashMap<>();

	private final PlannedStop stop = new PlannedStop();

	private MeshConfiguration configuration;

	private int activeRequests;

	private boolean refusingNewRequests;

	/**
	 * Creates a router.
	 * @param reader converts requests to calls
	 * @param access identifies the workspaces of requests
	 * @param eventLoop event loop of the node
	 * @param destinations servers
	 * @param limits limits for new work
	 * @param earlyRepeats sends requests, some of them twice
	 * @param metrics metrics
	 * @param decisions log of decisions
	 * @param receiveDelay returns the time in nanoseconds for which data that is read now
	 * may have been buffered
	 * @param memory account of the bytes that the node holds
	 * @param capacity capacity of the local server, which makes the nested calls
	 * @param allotments limits of the workspaces
	 */
	EntryRouter(EntryRequestReader reader, WorkspaceAccess access, EventLoop eventLoop, Destinations destinations,
			EntryLimits limits, EarlyRepeats earlyRepeats, MeshMetrics metrics, DecisionLog decisions,
			LongSupplier receiveDelay, HeldMemory memory, CapacityTracker capacity, FleetAllotments allotments) {
		this.reader = Objects.requireNonNull(reader, "reader");
		this.access = Objects.requireNonNull(access, "access");
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.destinations = Objects.requireNonNull(destinations, "destinations");
		this.limits = Objects.requireNonNull(limits, "limits");
		this.earlyRepeats = Objects.requireNonNull(earlyRepeats, "earlyRepeats");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.decisions = Objects.requireNonNull(decisions, "decisions");
		this.receiveDelay = Objects.requireNonNull(receiveDelay, "receiveDelay");
		this.memory = Objects.requireNonNull(memory, "memory");
		this.capacity = Objects.requireNonNull(capacity, "capacity");
		this.allotments = Objects.requireNonNull(allotments, "allotments");
	}

	/**
	 * Applies a configuration if it is newer than the current one.
	 * @param candidate configuration
	 * @return whether it was applied
	 */
	boolean apply(MeshConfiguration candidate) {
		if (this.configuration != null
				&& Long.compareUnsigned(candidate.version(), this.configuration.version()) <= 0) {
			return false;
		}
		this.configuration = candidate;
		List<String> routes = candidate.routes().stream().map(MeshRoute::name).toList();
		this.roundRobins.keySet().retainAll(routes);
		this.limits.routes(candidate.routes(),
				candidate.workspaces().workspaces().stream().map(Workspace::priority).collect(Collectors.toSet()));
		this.destinations.retain(routes);
		return true;
	}

	MeshConfiguration configuration() {
		return this.configuration;
	}

	int activeRequests() {
		return this.activeRequests;
	}

	/**
	 * Refuses further requests whose timeout is unknown or does not end in time.
	 * @param end time in nanoseconds at which the node stops and cuts off open requests
	 */
	void stopAt(long end) {
		this.stop.stopAt(end);
	}

	/**
	 * Refuses all further requests, since the node is about to stop.
	 */
	void refuseNewRequests() {
		this.refusingNewRequests = true;
	}

	@Override
	public CallHandle handle(FullHttpRequest request, long arrival, SocketAddress caller,
			Consumer<EntryResponse> listener) {
		Exchange exchange = new Exchange(request, arrival, listener);
		exchange.start(request);
		return exchange::cancel;
	}

	/**
	 * One request of a caller, with all its sends to servers.
	 */
	private final class Exchange implements EarlyRepeats.Request {

		private final Consumer<EntryResponse> listener;

		private final String requestId;

		/** Arrival of the request, which may have waited behind others. */
		private final long arrival;

		private final long start = System.nanoTime();

		private final Set<NodeId> usedNodes = new HashSet<>();

		private MeshRoute route;

		private AccessDecision accessDecision = AccessDecision.NO_KEYS;

		private ServiceName service;

		private Call call;

		private CallHandle callHandle;

		private MemberStatus member;

		private Future<?> timer;

		private int sends;

		private int failedAttempts;

		private int slowAttempts;

		private int overloadRefusals;

		private int rateLimitRefusals;

		private boolean shedByServer;

		private boolean admitted;

		private CapacityTracker.NestedCall nestedCall = CapacityTracker.NestedCall.NONE;

		private CallResult.Answered errorAnswer;

		/** Permit of the workspace's allotment, or null without a workspace. */
		private AllotmentPermit permit;

		private boolean ended;

		Exchange(FullHttpRequest request, long arrival, Consumer<EntryResponse> listener) {
			this.arrival = arrival;
			this.listener = listener;
			this.requestId = EntryRouter.this.reader.requestId(request);
		}

		void start(FullHttpRequest request) {
			EntryRouter.this.activeRequests++;
			MeshConfiguration current = EntryRouter.this.configuration;
			if (current == null) {
				refuse("no-configuration");
				return;
			}
			if (EntryRouter.this.refusingNewRequests) {
				refuse("stopping");
				return;
			}
			String host = request.headers().get(HttpHeaderNames.HOST, "");
			Optional<MeshRoute> match = current.match(host, EntryRequestReader.path(request.uri()));
			if (match.isEmpty()) {
				EntryRouter.this.decisions.log("request-not-found", "request", this.requestId, "host", host, "target",
						request.uri(), "configuration", Long.toHexString(current.version()));
				respond(EntryResponse.withoutBody(HttpResponseStatus.NOT_FOUND.code()), "not-found");
				return;
			}
			this.route = match.get();
			this.accessDecision = EntryRouter.this.access.decide(current.workspaces(), this.route.anonymous(),
					request.headers());
			if (this.accessDecision.rejection().isPresent()) {
				reject(this.accessDecision.rejection().get());
				return;
			}
			this.service = EntryRouter.this.roundRobins
				.computeIfAbsent(this.route.name(), (name) -> new WeightedRoundRobin())
				.next(this.route.shares());
			this.call = EntryRouter.this.reader.toCall(request, this.route, this.accessDecision,
					this.arrival - EntryRouter.this.receiveDelay.getAsLong());
			if (lacksMemory(request)) {
				refuse("memory");
				return;
			}
			if (!EntryRouter.this.stop.admits(this.call.deadline(),
					EntryRouter.this.reader.statesTimeout(request, this.route))) {
				refuse("stopping");
				return;
			}
			if (!EntryRouter.this.limits.admit(this.route, this.call.priority(), this.start)) {
				refuse("throttled");
				return;
			}
			this.admitted = true;
			if (EntryRouter.this.limits.nested(this.route)) {
				this.nestedCall = EntryRouter.this.capacity.nestedStarted(this.start);
			}
			if (this.call.deadline() - this.start <= 0) {
				refuse("expired");
				return;
			}
			if (!withinAllotment()) {
				return;
			}
			EntryRouter.this.limits.repeatBudget(this.service).earn();
			long remaining = this.call.deadline() - System.nanoTime();
			this.timer = EntryRouter.this.eventLoop.schedule(this::timeout, remaining, TimeUnit.NANOSECONDS);
			attempt();
		}

		// A line without a workspace is as long as in a deployment without workspaces.
		private void log(String event, Object... fields) {
			Object[] extended = fields;
			if (this.accessDecision.workspace().isPresent()) {
				extended = Arrays.copyOf(fields, fields.length + 2);
				extended[fields.length] = "workspace";
				extended[fields.length + 1] = this.accessDecision.workspaceLabel();
			}
			EntryRouter.this.decisions.log(event, extended);
		}

		private void reject(RejectionReason reason) {
			EntryRouter.this.decisions.log("request-unauthorized", "request", this.requestId, "route",
					this.route.name(), "reason", reason.label());
			respond(EntryResponse.withoutBody(HttpResponseStatus.UNAUTHORIZED.code(),
					EntryRouter.this.reader.challenge()), "unauthorized");
		}

		private boolean withinAllotment() {
			if (this.accessDecision.workspace().isEmpty()) {
				return true;
			}
			this.permit = EntryRouter.this.allotments.admit(this.accessDecision.workspace().get().name(),
					this.call.deadline() - this.start, this.start);
			Optional<Duration> retryAfter = this.permit.retryAfterIfRefused();
			retryAfter.ifPresent((delay) -> {
				logRefusal("allotment");
				respond(EntryResponse.withoutBody(HttpResponseStatus.TOO_MANY_REQUESTS.code(),
						EntryLimits.retryAfter(delay)), "over-allotment");
			});
			return retryAfter.isEmpty();
		}

		// The request is held already; its copy for another node or for the server is
		// not.
		private boolean lacksMemory(FullHttpRequest request) {
			long bytes = request.content().readableBytes() + CountedHeaders.messageBytes(request.headers());
			return EntryRouter.this.memory.exhausted()
					|| bytes >= LARGE_REQUEST_BYTES && !EntryRouter.this.memory.hasRoom(bytes);
		}

		private void attempt() {
			long now = System.nanoTime();
			if (this.sends > 0 && !EntryRouter.this.access.stillHolds(this.accessDecision,
					EntryRouter.this.configuration.workspaces())) {
				refuseWithoutAccess();
				return;
			}
			MemberStatus chosen = null;
			if (this.sends < this.route.maximumAttempts() + MAXIMUM_EXTRA_SENDS
					&& this.overloadRefusals < EntryRouter.this.limits.maximumOverloadRefusals(this.route,
							this.call.priority(), now)
					&& this.rateLimitRefusals < MAXIMUM_RATE_LIMIT_REFUSALS) {
				chosen = choose(now);
			}
			if (chosen == null) {
				refuse("no-server");
				return;
			}
			this.member = chosen;
			this.sends++;
			this.callHandle = null;
			CallHandle sent = EntryRouter.this.earlyRepeats.send(copyFor(chosen), this, now);
			// A result during send may have started the next attempt and set its handle.
			if (this.callHandle == null) {
				this.callHandle = sent;
			}
		}

		private MemberStatus choose(long now) {
			return EntryRouter.this.destinations.choose(this.service, this.usedNodes::contains,
					this.overloadRefusals > 0, targetTime(now), now);
		}

		private long targetTime(long now) {
			return this.route.targetLatency()
				.map((target) -> this.arrival + target.toNanos() - now)
				.orElse(Long.MAX_VALUE);
		}

		private EarlyRepeats.Copy copyFor(MemberStatus chosen) {
			this.usedNodes.add(chosen.member().node());
			return new EarlyRepeats.Copy(chosen, this.call.forServer(chosen.member().instance(), chosen.rateLimit()));
		}

		@Override
		public Optional<EarlyRepeats.Copy> secondCopy(long now) {
			if (!attemptLeft() || EntryRouter.this.limits.shortOfRoom(this.route, this.call.priority(), now)
					|| !EntryRouter.this.access.stillHolds(this.accessDecision,
							EntryRouter.this.configuration.workspaces())) {
				return Optional.empty();
			}
			// Bytes between regions cost more than the time that a second copy saves.
			MemberStatus chosen = EntryRouter.this.destinations.choose(this.service, this.usedNodes::contains, true,
					targetTime(now), now);
			if (chosen == null || chosen.load(now) >= 1
					|| !EntryRouter.this.limits.repeatBudget(this.service).spend()) {
				return Optional.empty();
			}
			this.sends++;
			this.slowAttempts++;
			log("request-repeated", "request", this.requestId, "route", this.route.name(), "node",
					this.member.member().node(), "reason", "slow");
			return Optional.of(copyFor(chosen));
		}

		private boolean attemptLeft() {
			return this.failedAttempts + this.slowAttempts + 1 < this.route.maximumAttempts();
		}

		@Override
		public void ended(MemberStatus answering, CallResult result) {
			this.member = answering;
			if (this.ended) {
				return;
			}
			if (result instanceof CallResult.Answered answered) {
				handleAnswer(answered);
			}
			else if (result instanceof CallResult.Refused refused) {
				handleRefusal(refused);
			}
			else if (result instanceof CallResult.Failed failed) {
				handleFailure(failed);
			}
		}

		private void handleAnswer(CallResult.Answered answered) {
			this.member.recordOutcome(answered.status() == HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
			if (answered.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()
					&& answered.status() != HttpResponseStatus.GATEWAY_TIMEOUT.code() && acquireRepeat()) {
				this.failedAttempts++;
				this.errorAnswer = answered;
				repeat("status-" + answered.status());
				return;
			}
			deliver(answered);
		}

		private void deliver(CallResult.Answered answered) {
			recordRequestOutcome((answered.status() < HttpResponseStatus.INTERNAL_SERVER_ERROR.code())
					? RequestOutcome.SERVED : RequestOutcome.WASTED);
			respond(new EntryResponse(answered.status(), answered.headers(), answered.body()), "answered");
		}

		private void recordRequestOutcome(RequestOutcome outcome) {
			if (this.admitted) {
				EntryRouter.this.limits.recordOutcome(this.route, this.call.priority(), outcome, System.nanoTime());
			}
		}

		private boolean acquireRepeat() {
			return this.route.idempotent() && attemptLeft() && choose(System.nanoTime()) != null
					&& EntryRouter.this.limits.repeatBudget(this.service).spend();
		}

		private void repeat(String reason) {
			EntryRouter.this.decisions.log("request-repeated", "request", this.requestId, "route", this.route.name(),
					"node", this.member.member().node(), "reason", reason);
			attempt();
		}

		private void handleRefusal(CallResult.Refused refused) {
			long now = System.nanoTime();
			switch (refused.reason()) {
				case WRONG_INSTANCE, DRAINING -> this.member.avoid(now + DRAINING_AVOIDANCE_NANOSECONDS);
				case UNREACHABLE -> this.member.avoid(now + UNREACHABLE_AVOIDANCE_NANOSECONDS);
				case OVERLOADED -> this.overloadRefusals++;
				case RATE_LIMITED -> this.rateLimitRefusals++;
				case SHED -> {
					this.overloadRefusals++;
					this.shedByServer = true;
				}
				default -> {
				}
			}
			if (refused.reason() == GateRefusal.EXPIRED
					|| refused.offered() && !EntryRouter.this.limits.repeatBudget(this.service).spend()) {
				refuse(refused.reason().name());
				return;
			}
			attempt();
		}

		private void handleFailure(CallResult.Failed failed) {
			this.member.recordOutcome(true);
			if (acquireRepeat()) {
				this.failedAttempts++;
				repeat(failed.reason());
				return;
			}
			log("request-failed", "request", this.requestId, "route", this.route.name(), "node",
					this.member.member().node(), "instance", this.member.member().instance(), "idempotent",
					this.route.idempotent(), "reason", failed.reason());
			if (this.errorAnswer != null) {
				deliver(this.errorAnswer);
				return;
			}
			recordRequestOutcome(RequestOutcome.SERVED);
			respond(EntryResponse.withoutBody(HttpResponseStatus.BAD_GATEWAY.code()), "failed");
		}

		private void logRefusal(String reason) {
			log("request-refused", "request", this.requestId, "route", (this.route != null) ? this.route.name() : "",
					"service", this.service, "sends", this.sends, "share",
					(this.route != null) ? EntryRouter.this.limits.describeShare(this.route,
							this.accessDecision.priority(this.route.priority()), System.nanoTime()) : 1,
					"reason", reason);
		}

		private void refuse(String reason) {
			logRefusal(reason);
			if (this.errorAnswer != null) {
				deliver(this.errorAnswer);
				return;
			}
			if (this.sends > 0) {
				recordRequestOutcome(refusedOutcome());
			}
			// A server has failed while it handled the request, which may have run there.
			if (this.failedAttempts > 0) {
				respond(EntryResponse.withoutBody(HttpResponseStatus.BAD_GATEWAY.code()), "failed");
				return;
			}
			if (this.permit != null) {
				this.permit.returnUnused();
			}
			respond(EntryResponse.withoutBody(HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
					EntryRouter.this.limits.retryAfter(this.route)), "refused");
		}

		// Only a request that has neither run nor failed may get 401, which callers do
		// not
		// repeat.
		private void refuseWithoutAccess() {
			if (this.failedAttempts > 0 || !EntryRouter.this.access.keyWithdrawn(this.accessDecision,
					EntryRouter.this.configuration.workspaces())) {
				refuse("key-withdrawn");
				return;
			}
			recordRequestOutcome(refusedOutcome());
			if (this.permit != null) {
				this.permit.returnUnused();
			}
			reject(RejectionReason.UNKNOWN);
		}

		private RequestOutcome refusedOutcome() {
			if (this.failedAttempts > 0) {
				return RequestOutcome.WASTED;
			}
			return this.shedByServer ? RequestOutcome.SHED : RequestOutcome.REFUSED;
		}

		private void timeout() {
			if (this.ended) {
				return;
			}
			log("request-timeout", "request", this.requestId, "route", this.route.name(), "node",
					this.member.member().node(), "sends", this.sends, "elapsed_ms",
					TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.start));
			CallHandle open = this.callHandle;
			recordRequestOutcome(RequestOutcome.WASTED);
			respond(EntryResponse.withoutBody(HttpResponseStatus.GATEWAY_TIMEOUT.code()), "timeout");
			if (open != null) {
				open.cancel();
			}
		}

		private void respond(EntryResponse response, String outcome) {
			if (!end()) {
				return;
			}
			long now = System.nanoTime();
			EntryRouter.this.metrics.observeRequest((this.route != null) ? this.route.name() : "", outcome,
					now - this.start);
			EntryRouter.this.metrics.observeWorkspace(this.accessDecision, outcome, now);
			this.listener.accept(response);
		}

		private boolean end() {
			if (this.ended) {
				return false;
			}
			this.ended = true;
			EntryRouter.this.activeRequests--;
			this.nestedCall.ended(System.nanoTime());
			if (this.timer != null) {
				this.timer.cancel(false);
			}
			return true;
		}

		private void cancel() {
			if (end()) {
				long now = System.nanoTime();
				EntryRouter.this.metrics.observeRequest((this.route != null) ? this.route.name() : "", "cancelled",
						now - this.start);
				EntryRouter.this.metrics.observeWorkspace(this.accessDecision, "cancelled", now);
				if (this.callHandle != null) {
					this.callHandle.cancel();
				}
			}
		}

	}

}
