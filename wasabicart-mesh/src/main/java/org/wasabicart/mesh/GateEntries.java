package org.wasabicart.mesh;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.wasabicart.core.mesh.GateEntry;
import org.wasabicart.core.mesh.TargetTerms;
import org.wasabicart.core.overload.GateOrder;
import org.wasabicart.core.overload.RouteHoldTimes;

/**
 * Decides how long calls may wait for a slot of the local server, and what the order of
 * its gate must know about them.
 */
final class GateEntries {

	/** Least time before its deadline at which a call is still started. */
	static final long MINIMUM_REMAINING = TimeUnit.MILLISECONDS.toNanos(10);

	/**
	 * Factor by which a nested call may wait longer for a slot than other calls. Refusing
	 * a nested call wastes the work of the request that made it, but waiting until the
	 * deadline makes that request late.
	 */
	private static final int NESTED_WAIT_FACTOR = 4;

	/**
	 * Factor by which a call may take longer than the mean of its route and still end in
	 * time: with the mean itself, about half of the calls that start last end too late.
	 */
	private static final double HOLD_TIME_MARGIN = 1.5;

	private final GateOrder order;

	private final RouteHoldTimes holdTimes = new RouteHoldTimes();

	GateEntries(GateOrder order) {
		this.order = Objects.requireNonNull(order, "order");
	}

	/**
	 * Creates the entry of a call.
	 * @param call call
	 * @param nested whether a backend server made the call while it ran a request
	 * @param serviceTime mean time in nanoseconds for which all calls hold a slot
	 * @param listener receives the decision
	 * @param now current time in nanoseconds
	 * @return the entry
	 */
	GateEntry create(Call call, boolean nested, long serviceTime, GateEntry.Listener listener, long now) {
		if (this.order == GateOrder.DEADLINE) {
			return new GateEntry(call.priority(),
					nested ? latestNestedStart(call, serviceTime, now) : call.latestStart(), listener);
		}
		long expected = (long) (HOLD_TIME_MARGIN * this.holdTimes.mean(call.route(), serviceTime));
		long latestStart = call.latestStart();
		if (nested) {
			latestStart = latestNestedStart(call, expected, now);
		}
		else if (call.targetEnd().isPresent()) {
			latestStart = call.deadline() - Math.max(MINIMUM_REMAINING, expected);
		}
		OptionalLong latestTargetStart = call.targetEnd().isPresent()
				? OptionalLong.of(call.targetEnd().getAsLong() - expected) : OptionalLong.empty();
		return new GateEntry(call.priority(), latestStart, new TargetTerms(nested, call.workspace(), latestTargetStart),
				listener);
	}

	private static long latestNestedStart(Call call, long serviceTime, long now) {
		return Math.min(now + NESTED_WAIT_FACTOR * (call.latestStart() - now),
				call.deadline() - Math.max(MINIMUM_REMAINING, serviceTime));
	}

	/**
	 * Records a call that the server has answered.
	 * @param route name of its route
	 * @param heldTime time in the slot in nanoseconds
	 */
	void answered(String route, long heldTime) {
		if (this.order != GateOrder.DEADLINE) {
			this.holdTimes.record(route, heldTime);
		}
	}

}
