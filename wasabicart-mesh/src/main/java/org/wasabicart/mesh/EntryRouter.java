package org.wasabicart.mesh;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.EntryThrottles;
import org.wasabicart.core.mesh.GateRefusal;
import org.wasabicart.core.mesh.MemberStatus;
import org.wasabicart.core.mesh.MeshConfiguration;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.MeshRoute;
import org.wasabicart.core.mesh.Placement;
import org.wasabicart.core.mesh.RepeatBudget;
import org.wasabicart.core.mesh.SplitRotation;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.wire.generated.mesh.MeshHeader;

/**
 * Finds the route of each request, places it at a server, and decides what follows when
 * the server refuses or fails.
 */
final class EntryRouter implements EntryHandler {

	private static final Logger logger = Logger.getLogger(EntryRouter.class);

	/** Time that a caller waits if it does not say. */
	private static final long DEFAULT_DEADLINE = TimeUnit.SECONDS.toNanos(5);

	/** Longest time that a caller may ask for. */
	private static final long MAXIMUM_DEADLINE = TimeUnit.MINUTES.toNanos(10);

	/**
	 * Part of the target latency that a request may wait for a slot: a longer wait costs
	 * more than to be told at once and come back.
	 */
	private static final double PATIENCE_SHARE = 0.125;

	/** Part of the time left that stands in for a target latency. */
	private static final double PATIENCE_SHARE_OF_DEADLINE = 0.05;

	/** Time without a server after a refusal by a node whose server cannot be reached. */
	private static final long AVOID_UNREACHABLE = TimeUnit.MILLISECONDS.toNanos(500);

	/** Time without a server after a refusal by a node whose server leaves. */
	private static final long AVOID_LEAVING = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Nodes that are asked beyond the attempts of the route, since a refusal is cheap.
	 */
	private static final int EXTRA_SENDS = 3;

	/**
	 * Nodes that may refuse for lack of room before the request is given up: the first
	 * one had the lowest load.
	 */
	private static final int MAXIMUM_OVERLOADS = 2;

	/**
	 * Part of the allowed repeats that one request may cause at one service: a request
	 * that runs again makes its calls again, so the repeats of each depth add up at the
	 * deepest service.
	 */
	private static final double REPEAT_SHARE = 0.25;

	private static final byte[] NO_BODY = {};

	private final MeshSettings settings;

	private final CallHeaders names;

	private final Set<String> droppedHeaders;

	private final EventLoop eventLoop;

	private final Peers peers;

	private final LocalBackend localBackend;

	private final Placement placement;

	private final RandomGenerator random;

	private final MeshMetrics metrics;

	private final DecisionLog decisions;

	private final Map<String, SplitRotation> rotations = new HashMap<>();

	private final Map<ServiceName, RepeatBudget> budgets = new HashMap<>();

	private final EntryThrottles throttles;

	private final Set<String> nestedRoutes = new HashSet<>();

	private MeshConfiguration configuration;

	private MemberStatus local;

	private int active;

	EntryRouter(MeshSettings settings, CallHeaders names, EventLoop eventLoop, Peers peers, LocalBackend localBackend,
			RandomGenerator random, MeshMetrics metrics, DecisionLog decisions) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.names = Objects.requireNonNull(names, "names");
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.peers = Objects.requireNonNull(peers, "peers");
		this.localBackend = Objects.requireNonNull(localBackend, "localBackend");
		this.random = Objects.requireNonNull(random, "random");
		this.throttles = new EntryThrottles(random);
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.decisions = Objects.requireNonNull(decisions, "decisions");
		this.placement = new Placement(settings.failureDomain(), settings.region(), random);
		this.droppedHeaders = Set.of(names.deadline().toLowerCase(Locale.ROOT),
				names.expectedInstance().toLowerCase(Locale.ROOT), names.callerService().toLowerCase(Locale.ROOT));
	}

	/**
	 * Puts a configuration in force, unless it is older than the one in force.
	 * @param candidate configuration
	 * @return whether it is in force now
	 */
	boolean adopt(MeshConfiguration candidate) {
		if (this.configuration != null
				&& Long.compareUnsigned(candidate.version(), this.configuration.version()) <= 0) {
			return false;
		}
		this.configuration = candidate;
		List<String> routes = candidate.routes().stream().map(MeshRoute::name).toList();
		this.rotations.keySet().retainAll(routes);
		this.throttles.retain(routes);
		this.nestedRoutes.retainAll(routes);
		return true;
	}

	MeshConfiguration configuration() {
		return this.configuration;
	}

	int active() {
		return this.active;
	}

	@Override
	public CallHandle handle(FullHttpRequest request, SocketAddress caller, Consumer<EntryAnswer> listener) {
		Exchange exchange = new Exchange(request, listener);
		exchange.start(request);
		return exchange::cancel;
	}

	private static String path(String target) {
		int query = target.indexOf('?');
		return (query >= 0) ? target.substring(0, query) : target;
	}

	private long deadline(HttpHeaders headers, long now) {
		String value = headers.get(this.names.deadline());
		if (value == null) {
			return now + DEFAULT_DEADLINE;
		}
		try {
			double milliseconds = Double.parseDouble(value);
			return now + (long) Math.max(0, Math.min(MAXIMUM_DEADLINE, milliseconds * 1e6));
		}
		catch (NumberFormatException ex) {
			logger.debugf("event=deadline-unreadable value=\"%s\"", value);
			return now + DEFAULT_DEADLINE;
		}
	}

	/**
	 * A node told whether a route is called by servers.
	 * @param route name of the route
	 * @param nested whether it is
	 */
	void nested(String route, boolean nested) {
		if (nested) {
			this.nestedRoutes.add(route);
		}
		else {
			this.nestedRoutes.remove(route);
		}
	}

	private RepeatBudget budget(ServiceName service) {
		return this.budgets.computeIfAbsent(service,
				(name) -> new RepeatBudget(this.settings.repeats().ratio() * REPEAT_SHARE, 1));
	}

	/**
	 * The server beside this node has changed.
	 * @param member server, or null if it is unknown or has left
	 */
	void localMember(MeshMember member) {
		if (member == null) {
			this.local = null;
		}
		else if (this.local == null) {
			this.local = new MemberStatus(member);
		}
		else {
			this.local.member(member);
		}
	}

	private List<MemberStatus> candidates(ServiceName service) {
		List<MemberStatus> others = this.peers.of(service);
		if (this.local == null || !this.local.member().service().equals(service)) {
			return others;
		}
		this.local.reported(this.localBackend.load());
		List<MemberStatus> all = new ArrayList<>(others.size() + 1);
		all.add(this.local);
		all.addAll(others);
		return all;
	}

	private CallHandle send(MemberStatus chosen, Call call, CallListener listener) {
		if (chosen == this.local) {
			return this.localBackend.handle(call, listener);
		}
		return this.peers.get(chosen.member().node()).send(call, listener);
	}

	/**
	 * One request of a caller.
	 */
	private final class Exchange {

		private final Consumer<EntryAnswer> listener;

		private final String requestId;

		private final long start = System.nanoTime();

		private final Set<NodeId> used = new HashSet<>();

		private MeshRoute route;

		private ServiceName service;

		private Call call;

		private CallHandle handle;

		private MemberStatus member;

		private Future<?> timer;

		private int sends;

		private int offers;

		private int overloads;

		private boolean counted;

		private CallResult.Answered failure;

		private boolean ended;

		Exchange(FullHttpRequest request, Consumer<EntryAnswer> listener) {
			this.listener = listener;
			String id = request.headers().get(EntryRouter.this.names.requestId());
			this.requestId = (id != null) ? id : "";
		}

		void start(FullHttpRequest request) {
			EntryRouter.this.active++;
			MeshConfiguration current = EntryRouter.this.configuration;
			if (current == null) {
				refuse("no-configuration");
				return;
			}
			String host = request.headers().get(HttpHeaderNames.HOST, "");
			Optional<MeshRoute> match = current.match(host, path(request.uri()));
			if (match.isEmpty()) {
				EntryRouter.this.decisions.log(
						"event=request-not-found request=%s host=%s target=%s configuration=%08x", this.requestId, host,
						request.uri(), current.version());
				answer(EntryAnswer.own(HttpResponseStatus.NOT_FOUND.code()), "not-found");
				return;
			}
			this.route = match.get();
			this.service = EntryRouter.this.rotations.computeIfAbsent(this.route.name(), (name) -> new SplitRotation())
				.next(this.route.shares());
			boolean nested = EntryRouter.this.nestedRoutes.contains(this.route.name());
			if (!nested && !EntryRouter.this.throttles.admit(this.route, this.start)) {
				refuse("throttled");
				return;
			}
			this.counted = !nested;
			this.call = call(request);
			budget(this.service).earn();
			long left = this.call.deadline() - System.nanoTime();
			this.timer = EntryRouter.this.eventLoop.schedule(this::timeout, left, TimeUnit.NANOSECONDS);
			attempt();
		}

		private Call call(FullHttpRequest request) {
			long callerDeadline = deadline(request.headers(), this.start);
			long deadline = this.route.timeout()
				.map((timeout) -> Math.min(callerDeadline, this.start + timeout.toNanos()))
				.orElse(callerDeadline);
			long patience = this.route.targetLatency()
				.map((target) -> (long) (target.toNanos() * PATIENCE_SHARE))
				.orElse((long) ((callerDeadline - this.start) * PATIENCE_SHARE_OF_DEADLINE));
			byte[] body = request.content().isReadable() ? ByteBufUtil.getBytes(request.content()) : NO_BODY;
			return new Call(this.requestId, request.method().name(), request.uri(),
					HttpFields.endToEnd(request.headers(), EntryRouter.this.droppedHeaders), body, deadline, "",
					EntryRouter.this.settings.service().value(), this.route.idempotent(), this.route.priority(),
					Math.min(deadline, this.start + patience), this.route.name());
		}

		private void attempt() {
			long now = System.nanoTime();
			MemberStatus chosen = null;
			if (this.sends < this.route.maximumAttempts() + EXTRA_SENDS && this.overloads < MAXIMUM_OVERLOADS) {
				chosen = choose(now);
			}
			if (chosen == null) {
				refuse("no-server sends=" + this.sends);
				return;
			}
			this.member = chosen;
			this.sends++;
			this.used.add(chosen.member().node());
			Call placed = new Call(this.call.requestId(), this.call.method(), this.call.target(), this.call.headers(),
					this.call.body(), this.call.deadline(), chosen.member().instance(), this.call.callerService(),
					this.call.idempotent(), this.call.priority(), this.call.latestStart(), this.call.route());
			this.handle = null;
			CallHandle sent = EntryRouter.this.send(chosen, placed, this::ended);
			if (this.handle == null) {
				this.handle = sent;
			}
		}

		private MemberStatus choose(long now) {
			return EntryRouter.this.placement.choose(candidates(), this.used::contains, this.overloads > 0, now);
		}

		private List<MemberStatus> candidates() {
			return EntryRouter.this.candidates(this.service);
		}

		private void ended(CallResult result) {
			if (this.ended) {
				return;
			}
			if (result instanceof CallResult.Answered answered) {
				answered(answered);
			}
			else if (result instanceof CallResult.Refused refused) {
				refused(refused);
			}
			else if (result instanceof CallResult.Failed failed) {
				failed(failed);
			}
		}

		private void answered(CallResult.Answered answered) {
			this.member.judged(answered.status() == HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
			if (answered.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()
					&& answered.status() != HttpResponseStatus.GATEWAY_TIMEOUT.code() && mayRepeat()) {
				this.offers++;
				this.failure = answered;
				repeat("status-" + answered.status());
				return;
			}
			deliver(answered);
		}

		private void deliver(CallResult.Answered answered) {
			recordCapacity(answered.status() < HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
			answer(new EntryAnswer(answered.status(), answered.headers(), answered.body()), "answered");
		}

		private void recordCapacity(boolean succeeded) {
			if (this.counted) {
				EntryRouter.this.throttles.ended(this.route, succeeded, System.nanoTime());
			}
		}

		private boolean mayRepeat() {
			return this.route.idempotent() && this.offers + 1 < this.route.maximumAttempts()
					&& choose(System.nanoTime()) != null && budget(this.service).spend();
		}

		private void repeat(String reason) {
			EntryRouter.this.decisions.log("event=request-repeated request=%s route=%s node=%s reason=%s",
					this.requestId, this.route.name(), this.member.member().node(), reason);
			attempt();
		}

		private void refused(CallResult.Refused refused) {
			long now = System.nanoTime();
			switch (refused.reason()) {
				case WRONG_INSTANCE, DRAINING -> this.member.avoid(now + AVOID_LEAVING);
				case UNREACHABLE -> this.member.avoid(now + AVOID_UNREACHABLE);
				case OVERLOADED, SHED -> this.overloads++;
				default -> {
				}
			}
			if (refused.reason() == GateRefusal.EXPIRED || refused.offered() && !budget(this.service).spend()) {
				refuse(refused.reason().name());
				return;
			}
			attempt();
		}

		private void failed(CallResult.Failed failed) {
			this.member.judged(true);
			if (mayRepeat()) {
				this.offers++;
				repeat(failed.reason());
				return;
			}
			EntryRouter.this.decisions.log(
					"event=request-failed request=%s route=%s node=%s instance=%s idempotent=%s reason=\"%s\"",
					this.requestId, this.route.name(), this.member.member().node(), this.member.member().instance(),
					this.route.idempotent(), failed.reason());
			if (this.failure != null) {
				deliver(this.failure);
				return;
			}
			recordCapacity(true);
			answer(EntryAnswer.own(HttpResponseStatus.BAD_GATEWAY.code()), "failed");
		}

		private void refuse(String reason) {
			EntryRouter.this.decisions.log("event=request-refused request=%s route=%s service=%s sends=%d reason=%s",
					this.requestId, (this.route != null) ? this.route.name() : "", this.service, this.sends, reason);
			if (this.failure != null) {
				deliver(this.failure);
				return;
			}
			recordCapacity(false);
			// Once the request was offered to a server that failed, it may have run.
			if (this.offers > 0) {
				answer(EntryAnswer.own(HttpResponseStatus.BAD_GATEWAY.code()), "failed");
				return;
			}
			answer(EntryAnswer.own(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), retryAfter()), "refused");
		}

		private MeshHeader retryAfter() {
			double target = 1;
			if (this.route != null) {
				target = this.route.targetLatency().map((duration) -> duration.toNanos() / 1e9).orElse(target);
			}
			double seconds = target * (0.15 + 0.35 * EntryRouter.this.random.nextDouble());
			return MeshHeader.newBuilder()
				.setName(HttpHeaderNames.RETRY_AFTER.toString())
				.setValue(String.format(Locale.ROOT, "%.3f", seconds))
				.build();
		}

		private void timeout() {
			if (this.ended) {
				return;
			}
			EntryRouter.this.decisions.log("event=request-timeout request=%s route=%s node=%s sends=%d elapsed_ms=%d",
					this.requestId, this.route.name(), this.member.member().node(), this.sends,
					TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.start));
			CallHandle open = this.handle;
			recordCapacity(false);
			answer(EntryAnswer.own(HttpResponseStatus.GATEWAY_TIMEOUT.code()), "timeout");
			if (open != null) {
				open.cancel();
			}
		}

		private void answer(EntryAnswer answer, String outcome) {
			if (!end()) {
				return;
			}
			EntryRouter.this.metrics.request((this.route != null) ? this.route.name() : "", outcome,
					System.nanoTime() - this.start);
			this.listener.accept(answer);
		}

		private boolean end() {
			if (this.ended) {
				return false;
			}
			this.ended = true;
			EntryRouter.this.active--;
			if (this.timer != null) {
				this.timer.cancel(false);
			}
			return true;
		}

		private void cancel() {
			if (end()) {
				EntryRouter.this.metrics.request((this.route != null) ? this.route.name() : "", "cancelled",
						System.nanoTime() - this.start);
				if (this.handle != null) {
					this.handle.cancel();
				}
			}
		}

	}

}
