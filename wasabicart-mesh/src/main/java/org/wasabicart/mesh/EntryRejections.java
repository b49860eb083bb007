package org.wasabicart.mesh;

import java.net.SocketAddress;
import java.util.Objects;

/**
 * Reports requests and connections of callers that the node rejects because of a bound.
 */
final class EntryRejections {

	private final MeshMetrics metrics;

	private final DecisionLog decisions;

	/**
	 * Creates a reporter.
	 * @param metrics metrics
	 * @param decisions log of decisions
	 */
	EntryRejections(MeshMetrics metrics, DecisionLog decisions) {
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.decisions = Objects.requireNonNull(decisions, "decisions");
	}

	/**
	 * Reports one rejection.
	 * @param reason reason
	 * @param caller address of the caller
	 */
	void rejected(String reason, SocketAddress caller) {
		this.metrics.countRejection(reason);
		this.decisions.log("caller-rejected", "caller", caller, "reason", reason);
	}

}
