package org.wasabicart.mesh.allotment;

import java.util.Optional;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.workspace.WorkspaceName;

/**
 * Gauges of the allotments at one node. At most {@link #MAXIMUM_WORKSPACES} workspaces
 * have series of their own.
 */
public final class AllotmentMetrics {

	/**
	 * Largest number of workspaces in one scrape, which bounds its size: more than the 82
	 * of the largest known deployment.
	 */
	static final int MAXIMUM_WORKSPACES = 128;

	private final Gauge coordinator;

	private final Gauge share;

	private final Gauge tokens;

	private final Gauge credit;

	private final Gauge left;

	/**
	 * Creates the metrics.
	 * @param registry registry of the node's metrics
	 */
	public AllotmentMetrics(PrometheusRegistry registry) {
		this.coordinator = Gauge.builder()
			.name("wasabicart_allotment_coordinator")
			.help("1 for the node that this node follows for the limits of workspaces")
			.labelNames("node")
			.register(registry);
		this.share = Gauge.builder()
			.name("wasabicart_allotment_share")
			.help("Share of the fleet that follows this node, 0 if it follows another one")
			.register(registry);
		this.tokens = gauge(registry, "wasabicart_allotment_tokens",
				"Requests of the workspace that this node may admit on tokens");
		this.credit = gauge(registry, "wasabicart_allotment_credit",
				"Requests of the workspace that this node may admit on credit");
		this.left = gauge(registry, "wasabicart_allotment_left",
				"Tokens of the workspace that are left at the coordinator, only there");
	}

	private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
		return Gauge.builder().name(name).help(help).labelNames("workspace").register(registry);
	}

	/**
	 * Records the state of a node.
	 * @param allotments allotments of the node
	 * @param now current time in nanoseconds
	 */
	public void record(FleetAllotments allotments, long now) {
		// Removed workspaces and former coordinators must not keep their series.
		this.coordinator.clear();
		this.tokens.clear();
		this.credit.clear();
		this.left.clear();
		this.share.set(0);
		allotments.observe(new Recording(), now);
	}

	/** One recording of the state. */
	private final class Recording implements AllotmentObserver {

		private int workspaces;

		private boolean coordinates;

		@Override
		public void coordination(Optional<NodeId> followed, double ownShare) {
			followed.ifPresent((node) -> AllotmentMetrics.this.coordinator.labelValues(node.value()).set(1));
			AllotmentMetrics.this.share.set(ownShare);
			this.coordinates = ownShare > 0;
		}

		@Override
		public void workspace(WorkspaceName workspace, int ownTokens, int ownCredit, double ownLeft) {
			if (this.workspaces >= MAXIMUM_WORKSPACES) {
				return;
			}
			this.workspaces++;
			AllotmentMetrics.this.tokens.labelValues(workspace.value()).set(ownTokens);
			AllotmentMetrics.this.credit.labelValues(workspace.value()).set(ownCredit);
			if (this.coordinates) {
				AllotmentMetrics.this.left.labelValues(workspace.value()).set(ownLeft);
			}
		}

	}

}
