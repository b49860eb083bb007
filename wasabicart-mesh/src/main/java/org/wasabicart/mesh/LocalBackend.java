package org.wasabicart.mesh;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.CallOrigin;
import org.wasabicart.core.mesh.CallOrigins;
import org.wasabicart.core.mesh.GateEntry;
import org.wasabicart.core.mesh.GateRefusal;
import org.wasabicart.core.mesh.MemberLoadReport;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.ServerState;
import org.wasabicart.core.mesh.SlotGate;
import org.wasabicart.core.model.NodeAddress;

/**
 * The backend server beside this node. All calls to the server pass through here, so that
 * a drain that this node acknowledged holds whatever other nodes believe.
 */
final class LocalBackend {

	private static final Logger logger = Logger.getLogger(LocalBackend.class);

	/** Part of the drain time in which calls that were already on their way are taken. */
	private static final double DRAIN_ACCEPT_SHARE = 0.4;

	/** Time in which calls are refused after the server accepted no connection. */
	private static final long UNREACHABLE_PAUSE = TimeUnit.MILLISECONDS.toNanos(200);

	/** Time past the deadline at which a silent server is given up. */
	private static final long DEADLINE_SLACK = TimeUnit.MILLISECONDS.toNanos(150);

	/** Time without which a call is not worth starting. */
	private static final long MINIMUM_REMAINING = TimeUnit.MILLISECONDS.toNanos(10);

	/**
	 * Factor on the patience of a call that a running request made: refusing it wastes
	 * the work done so far, while waiting for its deadline makes the request late.
	 */
	private static final int NESTED_PATIENCE = 4;

	private final MeshSettings settings;

	private final BackendMessages messages;

	private final BackendPool pool;

	private final Runnable changed;

	private final IntSupplier knownServices;

	private final CallOrigins origins = new CallOrigins();

	private final Set<Running> running = new HashSet<>();

	private BackendAnnouncement current;

	private SlotGate gate;

	private boolean left;

	private boolean stopping;

	private boolean draining;

	private long drainEnd;

	private boolean unreachable;

	private long unreachableUntil;

	LocalBackend(MeshSettings settings, CallHeaders names, EventLoop eventLoop, Runnable changed,
			IntSupplier knownServices) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.messages = new BackendMessages(names);
		this.changed = Objects.requireNonNull(changed, "changed");
		this.knownServices = Objects.requireNonNull(knownServices, "knownServices");
		this.pool = new BackendPool(eventLoop, settings.backendAddress(), names.requestId());
	}

	/**
	 * Takes a heartbeat. A late one of an earlier incarnation changes nothing.
	 * @param announcement heartbeat
	 */
	void announced(BackendAnnouncement announcement) {
		if (this.current != null && !newer(announcement)) {
			logger.debugf("event=announcement-late instance=%s sequence=%d", announcement.instance(),
					announcement.sequence());
			return;
		}
		boolean restarted = this.current == null || !this.current.instance().equals(announcement.instance())
				|| this.current.born() != announcement.born();
		boolean different = restarted || this.current.state() != announcement.state()
				|| this.current.slots() != announcement.slots() || this.left;
		if (restarted) {
			incarnation(announcement);
		}
		else if (this.left) {
			// A server that has left does not come back under the same incarnation.
			return;
		}
		this.current = announcement;
		this.gate.slots(announcement.slots());
		if (announcement.state() == ServerState.DRAINING) {
			drain();
		}
		if (different) {
			logger.infof("event=backend-announced instance=%s born=%d sequence=%d state=%s slots=%d",
					announcement.instance(), announcement.born(), announcement.sequence(), announcement.state(),
					announcement.slots());
			this.changed.run();
		}
	}

	private boolean newer(BackendAnnouncement announcement) {
		if (announcement.born() != this.current.born()) {
			return announcement.born() > this.current.born();
		}
		return !announcement.instance().equals(this.current.instance())
				|| announcement.sequence() > this.current.sequence();
	}

	private void incarnation(BackendAnnouncement announcement) {
		if (this.gate != null) {
			this.gate.refuseWaiting(GateRefusal.WRONG_INSTANCE);
		}
		this.gate = new SlotGate(announcement.slots());
		this.pool.reset();
		this.left = false;
		this.unreachable = false;
		this.draining = this.stopping;
	}

	/**
	 * The server has deregistered.
	 * @param instance id of the server
	 */
	void deregistered(String instance) {
		if (this.current == null || !this.current.instance().equals(instance) || this.left) {
			return;
		}
		logger.infof("event=backend-left instance=%s", instance);
		this.left = true;
		drain();
		this.changed.run();
	}

	/**
	 * This node stops; its server takes no more work through it.
	 */
	void stop() {
		this.stopping = true;
		drain();
		this.changed.run();
	}

	private void drain() {
		if (!this.draining) {
			this.draining = true;
			this.drainEnd = System.nanoTime() + (long) (this.settings.drainTime().toNanos() * DRAIN_ACCEPT_SHARE);
		}
	}

	/**
	 * Returns the server as other nodes should see it.
	 * @return the server, or null if it is unknown or has left
	 */
	MeshMember member() {
		if (this.current == null || this.left) {
			return null;
		}
		NodeAddress address = new NodeAddress(this.settings.linkAddress().getAddress().getHostAddress(),
				this.settings.linkAddress().getPort());
		return new MeshMember(this.settings.nodeId(), address, this.settings.failureDomain(), this.settings.region(),
				this.current.service(), this.current.instance(), this.current.slots(),
				this.draining ? ServerState.DRAINING : ServerState.READY);
	}

	/**
	 * Returns the load of the server.
	 * @return the load, or null if the server is unknown
	 */
	MemberLoadReport load() {
		return (this.gate == null) ? null
				: new MemberLoadReport(this.gate.limit(), this.gate.running(), this.gate.waiting());
	}

	/**
	 * Returns the number of calls that run or wait.
	 * @return the number
	 */
	int active() {
		return (this.gate == null) ? 0 : this.gate.running() + this.gate.waiting();
	}

	/**
	 * Returns who calls a route of the server.
	 * @param route name of the route
	 * @return the origin of its calls
	 */
	CallOrigin origin(String route) {
		return this.origins.origin(route, this.knownServices.getAsInt());
	}

	/**
	 * Passes a call to the server.
	 * @param call call
	 * @param listener receives the outcome; may be invoked before this returns
	 * @return handle to cancel the call
	 */
	CallHandle handle(Call call, CallListener listener) {
		this.origins.observe(call.route(), call.callerService());
		Running entry = new Running(call, origin(call.route()) == CallOrigin.NESTED, listener);
		GateRefusal refusal = refusal(call);
		if (refusal != null) {
			entry.end(new CallResult.Refused(refusal, false));
		}
		else {
			this.gate.offer(entry.gateEntry, System.nanoTime());
		}
		return entry::cancel;
	}

	private long latestNestedStart(Call call) {
		long now = System.nanoTime();
		long serviceTime = (this.gate != null) ? this.gate.serviceTime() : 0;
		return Math.min(now + NESTED_PATIENCE * (call.latestStart() - now),
				call.deadline() - Math.max(MINIMUM_REMAINING, serviceTime));
	}

	private GateRefusal refusal(Call call) {
		long now = System.nanoTime();
		if (this.current == null || !this.current.instance().equals(call.instance())) {
			return GateRefusal.WRONG_INSTANCE;
		}
		if (this.draining && now - this.drainEnd >= 0) {
			return GateRefusal.DRAINING;
		}
		if (this.unreachable && now - this.unreachableUntil < 0) {
			return GateRefusal.UNREACHABLE;
		}
		return (call.deadline() - now < MINIMUM_REMAINING) ? GateRefusal.EXPIRED : null;
	}

	/**
	 * Ends calls that wait or run for too long.
	 * @param now current time in nanoseconds
	 */
	void tick(long now) {
		if (this.gate != null) {
			if (this.draining && now - this.drainEnd >= 0) {
				this.gate.refuseWaiting(GateRefusal.DRAINING);
			}
			this.gate.expire(now);
		}
		for (Running entry : List.copyOf(this.running)) {
			if (now - entry.call.deadline() > DEADLINE_SLACK) {
				entry.giveUp();
			}
		}
		this.pool.expire(now);
	}

	/**
	 * One call that waits for a slot, or holds one.
	 */
	private final class Running
			implements GateEntry.Listener, BackendPool.Listener, BackendConnection.Exchange.Listener {

		private final Call call;

		private final CallListener listener;

		private final GateEntry gateEntry;

		private final SlotGate owner;

		private BackendConnection connection;

		private boolean admitted;

		private boolean ended;

		private boolean cancelled;

		private long started;

		Running(Call call, boolean nested, CallListener listener) {
			this.call = call;
			this.listener = listener;
			this.gateEntry = new GateEntry(call.priority(), nested ? latestNestedStart(call) : call.latestStart(),
					this);
			this.owner = LocalBackend.this.gate;
		}

		@Override
		public void admitted() {
			this.admitted = true;
			this.started = System.nanoTime();
			LocalBackend.this.running.add(this);
			LocalBackend.this.pool.acquire(this.call.idempotent(), this);
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
		public void answered(BackendAnswer answer) {
			end(LocalBackend.this.messages.result(answer));
		}

		@Override
		public void failed(String reason) {
			end(new CallResult.Failed(reason));
		}

		private void giveUp() {
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
				this.owner.withdraw(this.gateEntry);
				end(new CallResult.Refused(GateRefusal.CANCELLED, false));
			}
			else if (this.connection != null && this.call.idempotent()) {
				this.connection.abandon();
				end(new CallResult.Failed("cancelled"));
			}
		}

		private void end(CallResult result) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			if (this.admitted) {
				long now = System.nanoTime();
				LocalBackend.this.running.remove(this);
				boolean telling = result instanceof CallResult.Answered;
				this.owner.finished(telling ? now - this.started : -1, now);
			}
			if (!this.cancelled) {
				this.listener.ended(result);
			}
		}

	}

}
