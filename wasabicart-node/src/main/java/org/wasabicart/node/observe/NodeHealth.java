package org.wasabicart.node.observe;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.wasabicart.node.NodeParts;

/**
 * Health of a node. It is live while its scheduler runs, and ready for callers while it
 * has a configuration and does not drain. It is ready also without a serving backend
 * server, since callers reach all other services through it.
 */
public final class NodeHealth {

	private static final long LIVENESS_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

	private final NodeParts parts;

	private volatile long lastHeartbeatNanoseconds;

	/**
	 * Creates the health of a node that starts now.
	 * @param parts parts of the node
	 */
	public NodeHealth(NodeParts parts) {
		this.parts = parts;
		this.lastHeartbeatNanoseconds = parts.ticker().nanoseconds();
	}

	/**
	 * Records that the scheduler runs. The scheduler invokes this method every 250 ms.
	 */
	public void recordHeartbeat() {
		this.lastHeartbeatNanoseconds = this.parts.ticker().nanoseconds();
	}

	/**
	 * Returns whether the process is live.
	 * @return whether its scheduler has run within the liveness timeout
	 */
	public boolean live() {
		return this.parts.ticker().nanoseconds() - this.lastHeartbeatNanoseconds < LIVENESS_TIMEOUT_NANOSECONDS;
	}

	/**
	 * Returns why callers should not use the node.
	 * @return reasons; empty if it is ready
	 */
	public List<String> reasonsNotReady() {
		List<String> reasons = new ArrayList<>();
		if (this.parts.localServer().draining()) {
			reasons.add("draining");
		}
		if (this.parts.configuration().current().revision().value() == 0) {
			reasons.add("no configuration");
		}
		return reasons;
	}

}
