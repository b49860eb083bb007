package org.wasabicart.standin.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.standin.http.Json;

/**
 * Faults injected into a backend server.
 *
 * @param slowFactor factor by which the service time is multiplied
 * @param shedShare share of the requests that are shed before they run
 * @param errorShare share of the requests that run and fail with status 500
 * @param silent whether requests run but are never answered
 * @param reportedHealth health that the health endpoint reports: {@code actual},
 * {@code healthy} or {@code unhealthy}
 * @param reportedRunning running requests that the load endpoint reports; negative for
 * the actual number
 * @param reportLagMilliseconds age of the figures that the health and load endpoints
 * report
 */
public record BackendFaults(double slowFactor, double shedShare, double errorShare, boolean silent,
		String reportedHealth, int reportedRunning, long reportLagMilliseconds) {

	/** No fault. */
	public static final BackendFaults NONE = new BackendFaults(1, 0, 0, false, "actual", -1, 0);

	/**
	 * Returns a copy with some values replaced.
	 * @param change new values by component name; absent ones are kept
	 * @return the changed faults
	 */
	BackendFaults with(JsonNode change) {
		return new BackendFaults(change.path("slowFactor").asDouble(this.slowFactor),
				change.path("shedShare").asDouble(this.shedShare), change.path("errorShare").asDouble(this.errorShare),
				change.path("silent").asBoolean(this.silent), change.path("reportedHealth").asText(this.reportedHealth),
				change.path("reportedRunning").asInt(this.reportedRunning),
				change.path("reportLagMilliseconds").asLong(this.reportLagMilliseconds));
	}

	ObjectNode toJson() {
		return Json.object()
			.put("slowFactor", this.slowFactor)
			.put("shedShare", this.shedShare)
			.put("errorShare", this.errorShare)
			.put("silent", this.silent)
			.put("reportedHealth", this.reportedHealth)
			.put("reportedRunning", this.reportedRunning)
			.put("reportLagMilliseconds", this.reportLagMilliseconds);
	}

}
