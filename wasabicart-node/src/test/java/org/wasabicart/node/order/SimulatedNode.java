package org.wasabicart.node.order;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.Revision;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.order.TicketLimits;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.PeerCall;
import org.wasabicart.node.peer.PeerCallListener;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.node.request.TaskScheduler;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * One node of the simulated world. Tasks of an instance that has crashed do not run, and
 * those of a paused one wait.
 */
final class SimulatedNode implements PeerTransport {

	private final OrderWorld world;

	private final int index;

	private long instance = 1;

	private boolean down;

	private long pausedUntil;

	private boolean draining;

	private OrderService orders;

	SimulatedNode(OrderWorld world, int index) {
		this.world = world;
		this.index = index;
		start();
		tick();
	}

	private void start() {
		KeyClaims claims = (context, key, ticket, members) -> this.world.store.claim(guard(), key, ticket);
		this.orders = new OrderService(new OrderParts(id(), new InstanceNumber(this.instance), this.world::now,
				this.world.random, this::schedule, this.world::members, () -> this.draining, this, claims,
				TicketLimits.HOME, TicketLimits.SERVING));
	}

	private void tick() {
		local((self) -> self.orders.tick());
		this.world.after(1000, this::tick);
	}

	private TaskScheduler.ScheduledTask schedule(long nanoseconds, Runnable task) {
		Guard guard = guard();
		this.world.after(Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanoseconds)), () -> guard.run(task));
		return () -> {
		};
	}

	NodeId id() {
		return new NodeId("n" + this.index);
	}

	int index() {
		return this.index;
	}

	OrderService orders() {
		return this.orders;
	}

	boolean down() {
		return this.down;
	}

	boolean paused() {
		return this.world.now() < this.pausedUntil;
	}

	Member member() {
		return new Member(id(), new InstanceNumber(this.instance), new ServiceName("orders"), new FailureDomain("a"),
				new RegionName("r"), new NodeAddress("127.0.0.1", this.index + 1), MemberState.SERVING, 1,
				new Revision(1));
	}

	void crash(long restartMilliseconds) {
		if (this.down) {
			return;
		}
		this.down = true;
		this.instance++;
		this.draining = false;
		this.world.after(restartMilliseconds, () -> {
			this.down = false;
			start();
		});
	}

	void pause(long milliseconds) {
		this.pausedUntil = this.world.now() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
	}

	void drain() {
		this.draining = true;
	}

	void local(Consumer<SimulatedNode> task) {
		Guard guard = guard();
		guard.run(() -> task.accept(this));
	}

	void entry(CallRequest request, PeerCallListener listener) {
		this.orders.homeFilter().handle(request, listener, routing());
	}

	void peer(CallRequest request, PeerCallListener listener) {
		if (request.toHome()) {
			entry(request, listener);
			return;
		}
		CallHandler backend = (call, result) -> {
			this.world.backend(call, (response) -> result.finished(response));
			return () -> {
			};
		};
		Guard guard = guard();
		this.orders.servingFilter()
			.handle(request, (response) -> guard.run(() -> listener.finished(response)),
					(call, result) -> backend.handle(call, (response) -> guard.run(() -> result.finished(response))));
	}

	private CallHandler routing() {
		return (request, listener) -> {
			route(request, listener, List.of(2, 3));
			return () -> {
			};
		};
	}

	// Tries the next serving node only after a refusal, as the routing does.
	private void route(CallRequest request, PeerCallListener listener, List<Integer> targets) {
		NodeAddress address = this.world.nodes.get(targets.get(0)).member().address();
		this.orders.transport().send(address, request, (response) -> {
			if (response.outcome() instanceof Outcome.Refused && targets.size() > 1) {
				route(request, listener, targets.subList(1, targets.size()));
			}
			else {
				listener.finished(response);
			}
		});
	}

	@Override
	public PeerCall send(NodeAddress address, CallRequest request, PeerCallListener listener) {
		this.world.send(this, address, request, listener);
		return () -> {
		};
	}

	@Override
	public CompletableFuture<ControlResponse> ask(NodeAddress address, ControlRequest request, Duration timeout) {
		return this.world.ask(this, address, request);
	}

	Guard guard() {
		return new Guard(this.instance);
	}

	// Runs tasks of one instance.
	final class Guard {

		private final long guarded;

		Guard(long guarded) {
			this.guarded = guarded;
		}

		boolean alive() {
			return this.guarded == SimulatedNode.this.instance && !SimulatedNode.this.down;
		}

		void run(Runnable task) {
			if (!alive()) {
				return;
			}
			long wait = SimulatedNode.this.pausedUntil - SimulatedNode.this.world.now();
			if (wait > 0) {
				SimulatedNode.this.world.after(TimeUnit.NANOSECONDS.toMillis(wait) + 1, () -> run(task));
			}
			else {
				task.run();
			}
		}

	}

}
