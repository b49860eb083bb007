package org.wasabicart.node.observe;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.wasabicart.core.admission.AdmissionStatus;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.node.request.LocalAdmission;

/**
 * Metrics of one node.
 */
public final class NodeMetrics {

	private static final int MAXIMUM_KIND_LABELS = 64;

	private static final int MAXIMUM_TENANT_LABELS = 16;

	private static final int MAXIMUM_SERVICE_LABELS = 128;

	private static final double[] DURATION_BUCKETS_SECONDS = { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
			1, 2.5, 5, 10 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final BoundedLabels kinds = new BoundedLabels(MAXIMUM_KIND_LABELS);

	private final BoundedLabels tenants = new BoundedLabels(MAXIMUM_TENANT_LABELS);

	private final BoundedLabels services = new BoundedLabels(MAXIMUM_SERVICE_LABELS);

	private final Histogram durations = Histogram.builder()
		.name("wasabicart_call_duration_seconds")
		.help("Time from arrival to response")
		.labelNames("role", "kind", "importance", "tenant")
		.classicOnly()
		.classicUpperBounds(DURATION_BUCKETS_SECONDS)
		.register(this.registry);

	private final Counter outcomes = Counter.builder()
		.name("wasabicart_calls_total")
		.help("Calls by outcome and reason")
		.labelNames("role", "kind", "outcome", "reason")
		.register(this.registry);

	private final Counter retries = Counter.builder()
		.name("wasabicart_retries_total")
		.help("Attempts beyond the first that this node sent")
		.labelNames("service")
		.register(this.registry);

	/**
	 * Counts a finished call.
	 * @param role side of the request path on which it was observed
	 * @param context context of the call
	 * @param outcome outcome
	 * @param nanoseconds time from arrival to response
	 */
	void recordCall(CallRole role, RequestContext context, Outcome outcome, long nanoseconds) {
		String kind = this.kinds.labelFor(context.kind().value());
		this.durations
			.labelValues(role.label(), kind, Integer.toString(context.importance()),
					this.tenants.labelFor(context.tenant().value()))
			.observe(nanoseconds / (double) TimeUnit.SECONDS.toNanos(1));
		this.outcomes.labelValues(role.label(), kind, OutcomeText.name(outcome), OutcomeText.reason(outcome)).inc();
	}

	void recordRetry(ServiceName service) {
		this.retries.labelValues(this.services.labelFor(service.value())).inc();
	}

	/**
	 * Adds a gauge that is read at each scrape.
	 * @param name metric name
	 * @param help description
	 * @param value current value
	 */
	public void gauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
	}

	/**
	 * Adds a counter that is read at each scrape.
	 * @param name metric name, ending in {@code _total}
	 * @param help description
	 * @param value current value, which never decreases
	 */
	public void counter(String name, String help, DoubleSupplier value) {
		CounterWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
	}

	/**
	 * Adds the gauges of the admission control in front of the local backend server.
	 * @param admission admission control
	 */
	public void addAdmissionGauges(LocalAdmission admission) {
		admissionGauge("limit", "Concurrency limit", admission, AdmissionStatus::limit);
		admissionGauge("ceiling", "Ceiling of the concurrency limit", admission, AdmissionStatus::ceiling);
		admissionGauge("running", "Calls that the backend server runs", admission, AdmissionStatus::running);
		admissionGauge("queued", "Calls in the admission queue", admission, AdmissionStatus::queued);
		admissionGauge("queued_bytes", "Bytes in the admission queue", admission, AdmissionStatus::queuedBytes);
		admissionGauge("threshold", "Lowest admitted priority", admission, AdmissionStatus::threshold);
	}

	private void admissionGauge(String name, String help, LocalAdmission admission,
			ToDoubleFunction<AdmissionStatus> value) {
		gauge("wasabicart_admission_" + name, help,
				() -> admission.current().map((controller) -> value.applyAsDouble(controller.status())).orElse(0.0));
	}

	/**
	 * Writes all metrics.
	 * @return the text format of Prometheus, version 0.0.4
	 */
	public byte[] scrape() {
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(text, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return text.toByteArray();
	}

}
