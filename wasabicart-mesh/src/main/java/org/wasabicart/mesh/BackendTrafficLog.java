package org.wasabicart.mesh;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.RateLimit;

/**
 * Records the requests that the local backend server gets and what it states about
 * itself. While it names a limit or is leaving, one line a second compares the two.
 */
final class BackendTrafficLog {

	private static final Logger logger = Logger.getLogger(BackendTrafficLog.class);

	private static final long INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private final MeshMetrics metrics;

	private RateLimit rateLimit = RateLimit.NONE;

	private boolean leaving;

	private long intervalStart = System.nanoTime();

	private int sent;

	private int refused;

	BackendTrafficLog(MeshMetrics metrics) {
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.metrics.recordBackendState(this.rateLimit, this.leaving);
	}

	void requestSent() {
		this.sent++;
		this.metrics.countBackendRequest();
	}

	void requestRefused() {
		this.refused++;
	}

	/**
	 * Logs what the server states about itself if it has changed.
	 * @param instance id of the server
	 * @param statedLimit limit that is in effect
	 * @param statedLeaving whether the server is leaving
	 */
	void noticed(String instance, RateLimit statedLimit, boolean statedLeaving) {
		if (statedLimit.equals(this.rateLimit) && statedLeaving == this.leaving) {
			return;
		}
		logger.infof("event=backend-notice instance=%s limit=%s leaving=%s previous_limit=%s", instance,
				statedLimit.requestsPerSecond(), statedLeaving, this.rateLimit.requestsPerSecond());
		this.rateLimit = statedLimit;
		this.leaving = statedLeaving;
		this.metrics.recordBackendState(statedLimit, statedLeaving);
	}

	/**
	 * Logs the requests of the last interval while the server names a limit or is
	 * leaving.
	 * @param instance id of the server
	 * @param now current time in nanoseconds
	 */
	void tick(String instance, long now) {
		long elapsed = now - this.intervalStart;
		if (elapsed < INTERVAL_NANOSECONDS) {
			return;
		}
		if (this.rateLimit.limited() || this.leaving) {
			logger.infof("event=backend-traffic instance=%s limit=%s leaving=%s sent=%d refused=%d elapsed_ms=%d",
					instance, this.rateLimit.requestsPerSecond(), this.leaving, this.sent, this.refused,
					TimeUnit.NANOSECONDS.toMillis(elapsed));
		}
		this.intervalStart = now;
		this.sent = 0;
		this.refused = 0;
	}

}
