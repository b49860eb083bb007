package org.wasabicart.node.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

import org.wasabicart.node.observe.NodeHealth;
import org.wasabicart.node.observe.NodeMetrics;
import org.wasabicart.node.observe.NodeStatus;

/**
 * Metrics, health and status over HTTP.
 */
public final class OperatorPages implements OperatorApi {

	private static final ContentType METRICS_TYPE = ContentTypes.parse("text/plain; version=0.0.4; charset=utf-8");

	private static final String NODE_PATH_PREFIX = "/wasabicart/";

	private final NodeMetrics metrics;

	private final NodeHealth health;

	private final NodeStatus status;

	/**
	 * Creates the pages.
	 * @param metrics metrics of the node
	 * @param health liveness and readiness of the node
	 * @param status status report of the node
	 */
	public OperatorPages(NodeMetrics metrics, NodeHealth health, NodeStatus status) {
		this.metrics = metrics;
		this.health = health;
		this.status = status;
	}

	@Override
	public Optional<CompletionStage<HttpResponse>> handle(HttpRequest request) {
		String path = request.getUri().path();
		if (!request.method().equals(HttpMethods.GET)) {
			return path.startsWith(NODE_PATH_PREFIX) ? respond(HttpResponse.create().withStatus(404))
					: Optional.empty();
		}
		return switch (path) {
			case "/metrics" -> respond(HttpResponse.create().withEntity(METRICS_TYPE, this.metrics.scrape()));
			case "/health/live" -> respond(HttpResponse.create().withStatus(this.health.live() ? 200 : 503));
			case "/health/ready" -> respond(readiness());
			case "/wasabicart/status" ->
				respond(HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, this.status.json()));
			default ->
				path.startsWith(NODE_PATH_PREFIX) ? respond(HttpResponse.create().withStatus(404)) : Optional.empty();
		};
	}

	private HttpResponse readiness() {
		List<String> reasons = this.health.reasonsNotReady();
		return HttpResponse.create()
			.withStatus(reasons.isEmpty() ? 200 : 503)
			.withEntity(ContentTypes.APPLICATION_JSON,
					ResponseWriter.json(Map.of("ready", reasons.isEmpty(), "reasons", reasons)));
	}

	private static Optional<CompletionStage<HttpResponse>> respond(HttpResponse response) {
		return Optional.of(CompletableFuture.completedFuture(response));
	}

}
