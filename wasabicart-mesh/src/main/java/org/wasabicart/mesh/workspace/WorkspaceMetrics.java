package org.wasabicart.mesh.workspace;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Counts requests by workspace and outcome. The largest workspaces have series of their
 * own, all others share one, so that the number of series does not grow with the number
 * of workspaces.
 */
public final class WorkspaceMetrics {

	/** Label of the workspaces without series of their own. */
	static final String OTHER = "other";

	/** Number of workspaces with series of their own. */
	static final int LARGEST = 20;

	/** Time after which the largest workspaces are determined again. */
	static final long INTERVAL = TimeUnit.SECONDS.toNanos(10);

	private final Counter requests;

	/** Requests of each workspace; earlier intervals count less and less. */
	private final Map<String, Integer> sizes = new HashMap<>();

	private final Map<String, Set<String>> outcomesByName = new HashMap<>();

	private long intervalStart = System.nanoTime();

	/**
	 * Creates the metrics.
	 * @param registry registry of the node's metrics
	 */
	public WorkspaceMetrics(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.name("wasabicart_workspace_requests_total")
			.help("Requests by workspace and outcome; all but the largest workspaces together as other")
			.labelNames("workspace", "outcome")
			.register(registry);
	}

	/**
	 * Counts one request, if the configuration has workspaces.
	 * @param decision decision on the request
	 * @param outcome outcome of the request
	 * @param now current time in nanoseconds
	 */
	public void record(AccessDecision decision, String outcome, long now) {
		if (!decision.keysRequired()) {
			return;
		}
		if (decision.workspace().isEmpty()) {
			this.requests.labelValues("", outcome).inc();
			return;
		}
		if (now - this.intervalStart >= INTERVAL) {
			this.intervalStart = now;
			determineLargest();
		}
		String name = decision.workspaceLabel();
		this.sizes.merge(name, 1, Integer::sum);
		if (!this.outcomesByName.containsKey(name) && this.outcomesByName.size() >= LARGEST) {
			this.requests.labelValues(OTHER, outcome).inc();
			return;
		}
		this.outcomesByName.computeIfAbsent(name, (key) -> new HashSet<>()).add(outcome);
		this.requests.labelValues(name, outcome).inc();
	}

	// Workspaces that are no longer configured, or send nothing, are forgotten.
	private void determineLargest() {
		List<String> largest = this.sizes.entrySet()
			.stream()
			.sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
			.limit(LARGEST)
			.map(Map.Entry::getKey)
			.toList();
		this.outcomesByName.entrySet().removeIf((named) -> {
			boolean removed = !largest.contains(named.getKey());
			if (removed) {
				named.getValue().forEach((outcome) -> this.requests.remove(named.getKey(), outcome));
			}
			return removed;
		});
		this.sizes.replaceAll((name, size) -> size / 2);
		this.sizes.values().removeIf((size) -> size == 0);
	}

}
