package org.wasabicart.mesh.capacity;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import org.wasabicart.core.capacity.CapacityChange;
import org.wasabicart.core.capacity.ServerCapacity;
import org.wasabicart.core.capacity.ServerSpeed;
import org.wasabicart.core.mesh.MemberLoadReport;
import org.wasabicart.core.mesh.SlotGate;

/**
 * Capacity of the backend server beside this node. Learns nothing and changes nothing if
 * the announced capacity is used.
 */
public final class CapacityTracker {

	/** Time for which the typical time of the service is not computed again. */
	private static final long TYPICAL_TIME_VALIDITY = TimeUnit.SECONDS.toNanos(1);

	private static final RunningCall IGNORED = new RunningCall(null, null);

	private final boolean learned;

	private final DoubleSupplier typicalTime;

	private final CapacityListener listener;

	private String instance;

	private ServerCapacity capacity;

	private CapacityChange reported;

	private double typical;

	private long typicalAt;

	/**
	 * Creates a tracker without a server.
	 * @param mode source of the capacity
	 * @param typicalTime computes the expected time at a typical server of the service
	 * from the reports of the other nodes, in nanoseconds, 0 if it is not known
	 * @param listener receives what is learned
	 */
	public CapacityTracker(ServerCapacityMode mode, DoubleSupplier typicalTime, CapacityListener listener) {
		this.learned = mode == ServerCapacityMode.LEARNED;
		this.typicalTime = Objects.requireNonNull(typicalTime, "typicalTime");
		this.listener = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Forgets the server, since a new incarnation has announced itself.
	 * @param id id of the new incarnation
	 * @param slots announced slots
	 * @param now current time in nanoseconds
	 */
	public void incarnationStarted(String id, int slots, long now) {
		if (this.learned) {
			this.instance = id;
			this.typicalAt = now - TYPICAL_TIME_VALIDITY;
			this.capacity = new ServerCapacity(slots, () -> this.typical, now);
			this.reported = this.capacity.lastChange();
		}
	}

	/**
	 * Changes the number of announced slots.
	 * @param slots slots
	 */
	public void slots(int slots) {
		if (this.capacity != null) {
			this.capacity.slots(slots);
		}
	}

	/**
	 * Records that the server has been given a call.
	 * @param route name of the route
	 * @param now current time in nanoseconds
	 * @return the call, for {@link #ended}
	 */
	public RunningCall started(String route, long now) {
		return (this.capacity != null) ? new RunningCall(this.capacity, this.capacity.started(route, now)) : IGNORED;
	}

	/**
	 * Records that a call has ended.
	 * @param call call
	 * @param outcome whether the server has done the work of the call
	 * @param now current time in nanoseconds
	 */
	public void ended(RunningCall call, ServerSpeed.Outcome outcome, long now) {
		if (call.capacity() != null) {
			call.capacity().ended(call.call(), outcome, now);
		}
	}

	/**
	 * Records that the server has made a nested call.
	 * @param now current time in nanoseconds
	 * @return receives the time in nanoseconds at which the nested call has ended
	 */
	public NestedCall nestedStarted(long now) {
		ServerCapacity caller = this.capacity;
		if (caller == null) {
			return NestedCall.NONE;
		}
		caller.nestedStarted(now);
		return caller::nestedEnded;
	}

	/**
	 * Applies the learned limit and passes on what has changed.
	 * @param gate gate in front of the server
	 * @param now current time in nanoseconds
	 */
	public void tick(SlotGate gate, long now) {
		if (this.capacity == null) {
			return;
		}
		if (now - this.typicalAt >= TYPICAL_TIME_VALIDITY) {
			this.typicalAt = now;
			this.typical = this.typicalTime.getAsDouble();
		}
		boolean notice = this.capacity.tick(gate.running() + gate.waiting(), now);
		if (this.capacity.limit() > 0) {
			gate.learnedLimit(this.capacity.limit());
		}
		CapacityChange change = this.capacity.lastChange();
		if (change != this.reported) {
			this.reported = change;
			this.listener.changed(this.instance, change);
		}
		this.listener.observed(this.capacity.limit(), this.capacity.speed(), this.capacity.serviceTime(),
				now - change.time());
		if (notice) {
			this.listener.noticeDue();
		}
	}

	/**
	 * Adds what has been learned to a load report.
	 * @param load load without it
	 * @return the load
	 */
	public MemberLoadReport complete(MemberLoadReport load) {
		if (this.capacity == null || this.capacity.serviceTime() == 0) {
			return load;
		}
		return new MemberLoadReport(load.limit(), load.running(), load.waiting(), load.rateLimit(), load.requestRate(),
				load.leaving(), this.capacity.limit(), this.capacity.speed(), this.capacity.serviceTime(),
				this.capacity.meanUsed());
	}

	/**
	 * A nested call that the server has made.
	 */
	@FunctionalInterface
	public interface NestedCall {

		/** Nested call that is not observed. */
		NestedCall NONE = (now) -> {
		};

		/**
		 * The nested call has ended.
		 * @param now current time in nanoseconds
		 */
		void ended(long now);

	}

	/**
	 * A call that the server runs.
	 *
	 * @param capacity incarnation that runs the call, or null if nothing is learned
	 * @param call call
	 */
	public record RunningCall(ServerCapacity capacity, ServerSpeed.RunningCall call) {

	}

}
