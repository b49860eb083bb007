package org.wasabicart.mesh;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * Records the requests that the local backend server gets and what it states about
 * itself. While it names a limit or is leaving, one line a second compares the two.
 */
final class BackendTrafficLog {

	private static final Logger logger = Logger.getLogger(BackendTrafficLog.class);

	private static final long INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private final MeshMetrics metrics;

	private BackendNotice notice = BackendNotice.NONE;

	private long intervalStart = System.nanoTime();

	private int sent;

	private int refused;

	BackendTrafficLog(MeshMetrics metrics) {
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.metrics.recordBackendNotice(this.notice);
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
	 * @param stated notice of its last response
	 */
	void noticed(String instance, BackendNotice stated) {
		if (stated.equals(this.notice)) {
			return;
		}
		logger.infof("event=backend-notice instance=%s limit=%s leaving=%s previous_limit=%s", instance,
				stated.rateLimit().requestsPerSecond(), stated.leaving(), this.notice.rateLimit().requestsPerSecond());
		this.notice = stated;
		this.metrics.recordBackendNotice(stated);
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
		if (this.notice.rateLimit().limited() || this.notice.leaving()) {
			logger.infof("event=backend-traffic instance=%s limit=%s leaving=%s sent=%d refused=%d elapsed_ms=%d",
					instance, this.notice.rateLimit().requestsPerSecond(), this.notice.leaving(), this.sent,
					this.refused, TimeUnit.NANOSECONDS.toMillis(elapsed));
		}
		this.intervalStart = now;
		this.sent = 0;
		this.refused = 0;
	}

}
