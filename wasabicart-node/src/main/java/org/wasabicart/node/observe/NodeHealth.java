package org.wasabicart.node.observe;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.wasabicart.node.NodeParts;

/**
 * Health of a node. It is live while its scheduler runs, and ready for callers while it
 * has a configuration and does not drain. Whether its backend server serves is no
 * condition, since the node is also an entry to all other services.
 */
public final class NodeHealth {

	private static final long LIVE_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

	private final NodeParts parts;

	private volatile long lastBeat;

	/**
	 * Creates the health of a node that starts now.
	 * @param parts parts of the node
	 */
	public NodeHealth(NodeParts parts) {
		this.parts = parts;
		this.lastBeat = parts.ticker().nanoseconds();
	}

	/**
	 * Reports that the scheduler runs. To be called by it about once per second.
	 */
	public void beat() {
		this.lastBeat = this.parts.ticker().nanoseconds();
	}

	/**
	 * Returns whether the process works.
	 * @return whether its scheduler has run lately
	 */
	public boolean live() {
		return this.parts.ticker().nanoseconds() - this.lastBeat < LIVE_NANOSECONDS;
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
