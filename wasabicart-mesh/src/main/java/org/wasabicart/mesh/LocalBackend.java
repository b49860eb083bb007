package org.wasabicart.mesh;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import org.jboss.logging.Logger;

import org.wasabicart.core.capacity.ServerSpeed;
import org.wasabicart.core.mesh.CallOrigin;
import org.wasabicart.core.mesh.CallOrigins;
import org.wasabicart.core.mesh.GateEntry;
import org.wasabicart.core.mesh.GateRefusal;
import org.wasabicart.core.mesh.HeartbeatOrder;
import org.wasabicart.core.mesh.HeartbeatOutcome;
import org.wasabicart.core.mesh.IncarnationRecord;
import org.wasabicart.core.mesh.IncarnationRecords;
import org.wasabicart.core.mesh.MemberLoadReport;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.PlannedStop;
import org.wasabicart.core.mesh.ServerState;
import org.wasabicart.core.mesh.SlotGate;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.overload.OverloadSignals;
import org.wasabicart.mesh.capacity.CapacityTracker;

/**
 * The backend server on the VM of this node. All calls to the server pass through this
 * class, so after this node has acknowledged a drain, the server stops receiving calls
 * within the drain time even if other nodes still send them.
 */
final class LocalBackend {

	private static final Logger logger = Logger.getLogger(LocalBackend.class);

	/**
	 * Part of the drain time in which calls that were already in transit are accepted.
	 */
	private static final double DRAIN_ACCEPT_SHARE = 0.4;

	/** Time for which calls are refused after a connection attempt has failed. */
	private static final long UNREACHABLE_PAUSE = TimeUnit.MILLISECONDS.toNanos(200);

	/** Time after its deadline at which a call without a response is ended. */
	private static final long DEADLINE_SLACK = TimeUnit.MILLISECONDS.toNanos(150);

	private final MeshSettings settings;

	private final BackendMessages messages;

	private final BackendPool pool;

	private final Runnable changeListener;

	private final IntSupplier knownServices;

	private final BackendTrafficLog trafficLog;

	private final IncarnationRecords incarnationRecords;

	private final OverloadSignals signals;

	private final EventLoop eventLoop;

	private final CapacityTracker capacity;

	private final GateEntries gateEntries;

	private final CallOrigins origins = new CallOrigins();

	private final HeartbeatOrder heartbeatOrder;

	private final Set<PendingCall> running = new HashSet<>();

	private BackendAnnouncement current;

	private IncarnationRecord incarnationRecord;

	private SlotGate gate;

	private Future<?> admissionTimer;

	private String departedInstance;

	private long departureTime;

	private final PlannedStop plannedStop = new PlannedStop();

	private boolean draining;

	private long drainAcceptEnd;

	private boolean unreachable;

	private long unreachableUntil;

	LocalBackend(MeshSettings settings, HeaderNames headerNames, EventLoop eventLoop, Runnable changeListener,
			IntSupplier knownServices, BackendTrafficLog trafficLog, IncarnationRecords incarnationRecords,
			HeldMemory memory, CapacityTracker capacity, OverloadSignals signals) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.heartbeatOrder = new HeartbeatOrder(settings.service());
		this.messages = new BackendMessages(headerNames);
		this.changeListener = Objects.requireNonNull(changeListener, "changeListener");
		this.knownServices = Objects.requireNonNull(knownServices, "knownServices");
		this.trafficLog = Objects.requireNonNull(trafficLog, "trafficLog");
		this.incarnationRecords = Objects.requireNonNull(incarnationRecords, "incarnationRecords");
		this.signals = Objects.requireNonNull(signals, "signals");
		this.gateEntries = new GateEntries(settings.gateOrder());
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.capacity = Objects.requireNonNull(capacity, "capacity");
		this.pool = new BackendPool(eventLoop, settings.backendAddress(), headerNames.requestId(), memory);
	}

	/**
	 * Processes a heartbeat. Of one that was overtaken, only that the server is leaving
	 * takes effect.
	 * @param announcement heartbeat
	 * @return how it compares with the heartbeats before it
	 */
	HeartbeatOutcome handleHeartbeat(BackendAnnouncement announcement) {
		HeartbeatOutcome outcome = this.heartbeatOrder.accept(announcement.service(), announcement.incarnation(),
				announcement.sequence());
		if (outcome == HeartbeatOutcome.CURRENT) {
			handleCurrentHeartbeat(announcement);
		}
		else if (outcome == HeartbeatOutcome.OVERTAKEN && announcement.state() == ServerState.LEAVING
				&& !this.incarnationRecord.leaving()) {
			markLeaving();
			this.changeListener.run();
		}
		return outcome;
	}

	private void handleCurrentHeartbeat(BackendAnnouncement announcement) {
		MeshMember previous = member();
		if (this.current == null || !this.current.incarnation().equals(announcement.incarnation())) {
			startIncarnation(announcement);
		}
		this.current = announcement;
		this.gate.slots(announcement.slots());
		this.capacity.slots(announcement.slots());
		if (announcement.state() == ServerState.LEAVING || departedBeforeAnnouncement(announcement)) {
			markLeaving();
		}
		if (!member().equals(previous)) {
			logger.infof("event=backend-announced instance=%s born=%d sequence=%d state=%s slots=%d",
					announcement.instance(), announcement.born(), announcement.sequence(), member().state(),
					announcement.slots());
			this.changeListener.run();
		}
	}

	private boolean departedBeforeAnnouncement(BackendAnnouncement announcement) {
		return announcement.instance().equals(this.departedInstance) && announcement.born() <= this.departureTime;
	}

	private void startIncarnation(BackendAnnouncement announcement) {
		if (this.gate != null) {
			this.gate.refuseWaiting(GateRefusal.WRONG_INSTANCE);
		}
		this.gate = new SlotGate(announcement.slots(), this.settings.gateOrder().createQueue());
		this.capacity.incarnationStarted(announcement.instance(), announcement.slots(), System.nanoTime());
		this.incarnationRecord = this.incarnationRecords.get(announcement.incarnation());
		this.pool.reset();
		this.unreachable = false;
		this.draining = this.plannedStop.stopping() || this.incarnationRecord.leaving();
		this.drainAcceptEnd = System.nanoTime();
	}

	/**
	 * Processes the deregistration of a server. It may precede the first heartbeat that
	 * this process gets from the server.
	 * @param instance id of the server
	 * @param wallClockMilliseconds current time in milliseconds since the epoch
	 */
	void handleDeregistration(String instance, long wallClockMilliseconds) {
		logger.infof("event=backend-left instance=%s", instance);
		this.departedInstance = instance;
		this.departureTime = wallClockMilliseconds;
		if (this.current != null && this.current.instance().equals(instance)) {
			markLeaving();
			this.changeListener.run();
		}
	}

	/**
	 * Restores what an earlier run of this process has published about the server.
	 * @param published description of the server in the store or at another node
	 */
	void restore(MeshMember published) {
		if (published.state() != ServerState.LEAVING) {
			return;
		}
		this.incarnationRecords.get(published.incarnation()).markLeaving();
		if (this.current != null && this.current.incarnation().equals(published.incarnation())) {
			markLeaving();
			this.changeListener.run();
		}
	}

	// Calls that other nodes sent before they learned of it are accepted for a short
	// time.
	private void markLeaving() {
		this.incarnationRecord.markLeaving();
		startDrain();
	}

	/**
	 * Drains the server, since this node stops.
	 * @param end time in nanoseconds at which the node stops and cuts off open calls
	 */
	void stop(long end) {
		this.plannedStop.stopAt(end);
		startDrain();
		this.changeListener.run();
	}

	private void startDrain() {
		if (!this.draining) {
			this.draining = true;
			this.drainAcceptEnd = System.nanoTime() + (long) (this.settings.drainTime().toNanos() * DRAIN_ACCEPT_SHARE);
		}
	}

	/**
	 * Returns the description of the server that is published to other nodes.
	 * @return the server, or null if it is unknown
	 */
	MeshMember member() {
		if (this.current == null) {
			return null;
		}
		NodeAddress address = new NodeAddress(this.settings.linkAddress().getAddress().getHostAddress(),
				this.settings.linkAddress().getPort());
		return new MeshMember(this.settings.nodeId(), address, this.settings.failureDomain(), this.settings.region(),
				this.current.service(), this.current.incarnation(), this.current.slots(), state());
	}

	private ServerState state() {
		if (this.incarnationRecord.leaving()) {
			return ServerState.LEAVING;
		}
		return this.plannedStop.stopping() ? ServerState.DRAINING : ServerState.READY;
	}

	/**
	 * Returns the load of the server.
	 * @param now current time in nanoseconds
	 * @return the load, or null if the server is unknown
	 */
	MemberLoadReport load(long now) {
		return (this.gate == null) ? null
				: this.capacity.complete(new MemberLoadReport(this.gate.limit(), this.gate.running(),
						this.gate.waiting(), this.incarnationRecord.rateLimit(), this.gate.admittedPerSecond(now),
						this.incarnationRecord.leaving()));
	}

	/**
	 * Returns the number of calls that run or wait for a slot.
	 * @return the number
	 */
	int activeCalls() {
		return (this.gate == null) ? 0 : this.gate.running() + this.gate.waiting();
	}

	/**
	 * Returns the kind of caller that sends the calls of a route.
	 * @param route name of the route
	 * @return the origin
	 */
	CallOrigin origin(String route) {
		return this.origins.origin(route, this.knownServices.getAsInt());
	}

	/**
	 * Passes a call to the server once a slot is free, or refuses it.
	 * @param call call
	 * @param listener receives the outcome; may be invoked before this returns
	 * @return handle to cancel the call
	 */
	CallHandle handle(Call call, CallListener listener) {
		this.origins.observe(call.route(), call.callerService());
		PendingCall pending = new PendingCall(call, origin(call.route()) == CallOrigin.NESTED, listener);
		GateRefusal refusal = refusal(call);
		if (refusal != null) {
			pending.end(new CallResult.Refused(refusal, false));
		}
		else {
			long now = System.nanoTime();
			applyKnownRateLimit(call, now);
			this.signals.offered(this.gate.hasRoom());
			this.gate.offer(pending.gateEntry, now);
			scheduleAdmission(now);
		}
		return pending::cancel;
	}

	// The limit is forgotten when the process of this node ends. The senders of calls
	// remember it until the server names its limit in the first response.
	private void applyKnownRateLimit(Call call, long now) {
		if (this.incarnationRecord.rateLimit().isEmpty()) {
			call.knownRateLimit()
				.filter((limit) -> limit.requestsPerSecond() < this.gate.rateLimit().requestsPerSecond())
				.ifPresent((limit) -> this.gate.rateLimit(limit, now));
		}
	}

	private void scheduleAdmission(long now) {
		long delay = this.gate.admissionDelay(now);
		if (this.admissionTimer == null && delay < Long.MAX_VALUE) {
			this.admissionTimer = this.eventLoop.schedule(this::admitWaiting, delay, TimeUnit.NANOSECONDS);
		}
	}

	private void admitWaiting() {
		this.admissionTimer = null;
		long now = System.nanoTime();
		this.gate.expire(now);
		scheduleAdmission(now);
	}

	private GateRefusal refusal(Call call) {
		long now = System.nanoTime();
		if (this.current == null || !this.current.instance().equals(call.instance())) {
			return GateRefusal.WRONG_INSTANCE;
		}
		if (this.draining && now - this.drainAcceptEnd >= 0) {
			return GateRefusal.DRAINING;
		}
		// Each call states the time that its entry waits for it.
		if (!this.plannedStop.admits(call.deadline(), true)) {
			return GateRefusal.DRAINING;
		}
		if (this.unreachable && now - this.unreachableUntil < 0) {
			return GateRefusal.UNREACHABLE;
		}
		return (call.deadline() - now < GateEntries.MINIMUM_REMAINING) ? GateRefusal.EXPIRED : null;
	}

	/**
	 * Ends calls that have waited or run for too long and closes idle connections.
	 * @param now current time in nanoseconds
	 */
	void tick(long now) {
		if (this.gate != null) {
			if (this.draining && now - this.drainAcceptEnd >= 0) {
				this.gate.refuseWaiting(GateRefusal.DRAINING);
			}
			this.gate.expire(now);
			this.capacity.tick(this.gate, now);
			this.signals.update(this.gate.limit(), this.gate.capacityPerSecond(), this.gate.waiting(), now);
		}
		for (PendingCall pending : List.copyOf(this.running)) {
			if (now - pending.call.deadline() > DEADLINE_SLACK) {
				pending.abort();
			}
		}
		this.pool.expire(now);
		if (this.current != null) {
			this.trafficLog.tick(this.current.instance(), now);
		}
	}

	private void handleNotice(PendingCall pending, BackendResponse response) {
		BackendNotice notice = this.messages.notice(response);
		notice.rateLimit().ifPresent((limit) -> {
			pending.incarnationRecord.rateLimit(limit);
			pending.assignedGate.rateLimit(limit, System.nanoTime());
		});
		if (pending.assignedGate != this.gate) {
			return;
		}
		this.trafficLog.noticed(this.current.instance(), this.gate.rateLimit(),
				notice.leaving() || this.incarnationRecord.leaving());
		if (notice.leaving() && !this.incarnationRecord.leaving()) {
			markLeaving();
			this.changeListener.run();
		}
	}

	/**
	 * A call that waits for a slot or holds one.
	 */
	private final class PendingCall
			implements GateEntry.Listener, BackendPool.Listener, BackendConnection.Exchange.Listener {

		private final Call call;

		private final CallListener listener;

		private final GateEntry gateEntry;

		private final SlotGate assignedGate;

		private final IncarnationRecord incarnationRecord;

		private BackendConnection connection;

		private boolean admitted;

		private boolean ended;

		private boolean cancelled;

		private long started;

		private CapacityTracker.RunningCall runningCall;

		PendingCall(Call call, boolean nested, CallListener listener) {
			this.call = call;
			this.listener = listener;
			this.assignedGate = LocalBackend.this.gate;
			long serviceTime = (this.assignedGate != null) ? this.assignedGate.serviceTime() : 0;
			this.gateEntry = LocalBackend.this.gateEntries.create(call, nested, serviceTime, this, System.nanoTime());
			this.incarnationRecord = LocalBackend.this.incarnationRecord;
		}

		@Override
		public void admitted() {
			this.admitted = true;
			this.started = System.nanoTime();
			this.runningCall = LocalBackend.this.capacity.started(this.call.route(), this.started);
			LocalBackend.this.running.add(this);
			LocalBackend.this.signals.started(this.call.route(), this.started);
			LocalBackend.this.pool.acquire(this.call.idempotent(), this.call.requestId(), this);
		}

		@Override
		public void refused(GateRefusal refusal) {
			end(new CallResult.Refused(refusal, false));
		}

		@Override
		public void connected(BackendConnection opened) {
			if (this.ended || this.cancelled) {
				opened.close();
				end(new CallResult.Refused(GateRefusal.CANCELLED, false));
				return;
			}
			long remaining = TimeUnit.NANOSECONDS.toMillis(this.call.deadline() - System.nanoTime());
			if (remaining < 1) {
				opened.close();
				end(new CallResult.Refused(GateRefusal.EXPIRED, false));
				return;
			}
			this.connection = opened;
			LocalBackend.this.trafficLog.requestSent();
			this.connection.send(LocalBackend.this.messages.request(this.call, remaining, opened.allocator()),
					HttpMethod.valueOf(this.call.method()), this.call.requestId(), this);
		}

		@Override
		public void failed(Throwable cause) {
			logger.debugf("event=backend-connect-failed request=%s reason=\"%s\"", this.call.requestId(), cause);
			LocalBackend.this.unreachableUntil = System.nanoTime() + UNREACHABLE_PAUSE;
			LocalBackend.this.unreachable = true;
			end(new CallResult.Refused(GateRefusal.UNREACHABLE, false));
		}

		@Override
		public void answered(BackendResponse response) {
			handleNotice(this, response);
			end(LocalBackend.this.messages.result(response));
		}

		@Override
		public void failed(String reason) {
			end(new CallResult.Failed(reason));
		}

		private void abort() {
			if (this.connection != null) {
				this.connection.abandon();
				end(new CallResult.Failed("server-silent-past-deadline"));
			}
			else {
				end(new CallResult.Refused(GateRefusal.UNREACHABLE, false));
			}
		}

		private void cancel() {
			if (this.ended) {
				return;
			}
			this.cancelled = true;
			if (!this.admitted) {
				this.assignedGate.withdraw(this.gateEntry);
				end(new CallResult.Refused(GateRefusal.CANCELLED, false));
			}
			else if (this.connection != null && this.call.idempotent()) {
				this.connection.abandon();
				end(new CallResult.Failed("cancelled"));
			}
		}

		private ServerSpeed.Outcome outcome(CallResult result) {
			if (result instanceof CallResult.Answered answered) {
				return (answered.status() < HttpResponseStatus.INTERNAL_SERVER_ERROR.code())
						? ServerSpeed.Outcome.SERVED : ServerSpeed.Outcome.FAILED;
			}
			boolean shed = result instanceof CallResult.Refused refused && refused.reason() == GateRefusal.SHED;
			return shed ? ServerSpeed.Outcome.FAILED : ServerSpeed.Outcome.UNKNOWN;
		}

		private void end(CallResult result) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			if (this.admitted) {
				long now = System.nanoTime();
				LocalBackend.this.running.remove(this);
				LocalBackend.this.signals.ended(this.call.route(), this.started, now);
				boolean measured = result instanceof CallResult.Answered;
				LocalBackend.this.capacity.ended(this.runningCall, outcome(result), now);
				if (measured) {
					LocalBackend.this.gateEntries.answered(this.call.route(), now - this.started);
				}
				this.assignedGate.finished(measured ? now - this.started : -1, now);
			}
			if (result instanceof CallResult.Refused) {
				LocalBackend.this.trafficLog.requestRefused();
			}
			if (!this.cancelled) {
				this.listener.ended(result);
			}
		}

	}

}
