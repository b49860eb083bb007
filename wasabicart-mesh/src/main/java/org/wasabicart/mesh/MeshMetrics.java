package org.wasabicart.mesh;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.wasabicart.core.capacity.CapacityChange;
import org.wasabicart.core.mesh.RateLimit;
import org.wasabicart.mesh.allotment.AllotmentMetrics;
import org.wasabicart.mesh.allotment.FleetAllotments;
import org.wasabicart.mesh.workspace.AccessDecision;
import org.wasabicart.mesh.workspace.WorkspaceMetrics;

/**
 * Metrics of the node in the Prometheus format.
 */
public final class MeshMetrics {

	private static final double[] LATENCY_BUCKETS_SECONDS = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Histogram requests = Histogram.builder()
		.name("wasabicart_request_seconds")
		.help("Time from a request to its answer, by route and outcome")
		.labelNames("route", "outcome")
		.classicOnly()
		.classicUpperBounds(LATENCY_BUCKETS_SECONDS)
		.register(this.registry);

	private final Counter backendRequests = Counter.builder()
		.name("wasabicart_backend_requests_total")
		.help("Requests sent to the local backend server")
		.register(this.registry);

	private final Gauge backendRateLimit = Gauge.builder()
		.name("wasabicart_backend_rate_limit")
		.help("Requests per second that the local backend server accepts; +Inf without a limit")
		.register(this.registry);

	private final Gauge backendLeaving = Gauge.builder()
		.name("wasabicart_backend_leaving")
		.help("1 if the local backend server is leaving, otherwise 0")
		.register(this.registry);

	private final Gauge storeEra = Gauge.builder()
		.name("wasabicart_store_era")
		.help("Latest era of the store; it rises when the store returns from an older copy")
		.register(this.registry);

	private final Gauge configurationVersion = Gauge.builder()
		.name("wasabicart_configuration_version")
		.help("Version of the configuration in force")
		.register(this.registry);

	private final Gauge heldBytes = Gauge.builder()
		.name("wasabicart_held_bytes")
		.help("Bytes held for callers, servers and other nodes")
		.register(this.registry);

	private final Gauge heldBytesPeak = Gauge.builder()
		.name("wasabicart_held_bytes_peak")
		.help("Largest number of bytes held at the same time")
		.register(this.registry);

	private final Gauge messagesDiscarded = Gauge.builder()
		.name("wasabicart_messages_discarded")
		.help("Messages discarded since the node held too many bytes")
		.register(this.registry);

	private final WorkspaceMetrics workspaces = new WorkspaceMetrics(this.registry);

	private final AllotmentMetrics allotments = new AllotmentMetrics(this.registry);

	private final Gauge learnedLimit = Gauge.builder()
		.name("wasabicart_backend_learned_limit")
		.help("Calls that the local backend server runs well at the same time, 0 if not learned")
		.register(this.registry);

	private final Gauge learnedSpeed = Gauge.builder()
		.name("wasabicart_backend_speed")
		.help("Speed of the local backend server relative to a typical one of its service, 0 if not learned")
		.register(this.registry);

	private final Gauge serviceSeconds = Gauge.builder()
		.name("wasabicart_backend_service_seconds")
		.help("Expected time for which a call holds a slot of the local backend server, 0 if not learned")
		.register(this.registry);

	private final Gauge capacityAge = Gauge.builder()
		.name("wasabicart_backend_capacity_age_seconds")
		.help("Time since the last change of the learned capacity that matters")
		.register(this.registry);

	private final Counter capacityChanges = Counter.builder()
		.name("wasabicart_backend_capacity_changes_total")
		.help("Changes of the learned capacity, by reason")
		.labelNames("reason")
		.register(this.registry);

	private final Gauge lastCapacityChange = Gauge.builder()
		.name("wasabicart_backend_capacity_last_change")
		.help("1 for the reason of the last change of the learned capacity, otherwise 0")
		.labelNames("reason")
		.register(this.registry);

	private final Counter rejections = Counter.builder()
		.name("wasabicart_callers_rejected_total")
		.help("Requests and connections of callers rejected because of a bound, by reason")
		.labelNames("reason")
		.register(this.registry);

	private final Map<String, Map<String, DistributionDataPoint>> dataPoints = new HashMap<>();

	void observeRequest(String route, String outcome, long nanoseconds) {
		this.dataPoints.computeIfAbsent(route, (key) -> new HashMap<>())
			.computeIfAbsent(outcome, (key) -> this.requests.labelValues(route, outcome))
			.observe(nanoseconds / 1e9);
	}

	void observeWorkspace(AccessDecision decision, String outcome, long now) {
		this.workspaces.record(decision, outcome, now);
	}

	void recordAllotments(FleetAllotments state, long now) {
		this.allotments.record(state, now);
	}

	void countBackendRequest() {
		this.backendRequests.inc();
	}

	void countRejection(String reason) {
		this.rejections.labelValues(reason).inc();
	}

	void recordBackendState(RateLimit rateLimit, boolean leaving) {
		this.backendRateLimit.set(rateLimit.requestsPerSecond());
		this.backendLeaving.set(leaving ? 1 : 0);
	}

	void recordCapacity(int limit, double speed, long serviceTime, long age) {
		this.learnedLimit.set(limit);
		this.learnedSpeed.set(speed);
		this.serviceSeconds.set(serviceTime / 1e9);
		this.capacityAge.set(age / 1e9);
	}

	void countCapacityChange(CapacityChange.Reason reason) {
		this.capacityChanges.labelValues(label(reason)).inc();
		for (CapacityChange.Reason other : CapacityChange.Reason.values()) {
			this.lastCapacityChange.labelValues(label(other)).set((other == reason) ? 1 : 0);
		}
	}

	private static String label(CapacityChange.Reason reason) {
		return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	void recordStoreEra(long number) {
		this.storeEra.set(number);
	}

	void recordHeldMemory(HeldMemory memory) {
		this.heldBytes.set(memory.held());
		this.heldBytesPeak.set(memory.peak());
		this.messagesDiscarded.set(memory.discarded());
	}

	void recordConfigurationVersion(long version) {
		this.configurationVersion.set(version);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text
	 */
	public byte[] text() {
		try {
			ByteArrayOutputStream text = new ByteArrayOutputStream();
			PrometheusTextFormatWriter.create().write(text, this.registry.scrape());
			return text.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
