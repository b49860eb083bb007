package org.wasabicart.core.overload;

import java.util.function.Supplier;

import org.wasabicart.core.mesh.DeadlineQueue;
import org.wasabicart.core.mesh.GateQueue;

/**
 * Order in which calls get the slots of a server.
 */
public enum GateOrder {

	/** By priority, then by the earliest latest start. */
	DEADLINE(DeadlineQueue::new),

	/** By priority, then by what callers can still get. */
	TARGET_LATENCY(TargetLatencyQueue::new);

	private final Supplier<GateQueue> queues;

	GateOrder(Supplier<GateQueue> queues) {
		this.queues = queues;
	}

	/**
	 * Creates the queue of one server.
	 * @return the queue, which is empty
	 */
	public GateQueue createQueue() {
		return this.queues.get();
	}

}
