package org.wasabicart.mesh;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.wasabicart.core.capacity.CapacityChange;
import org.wasabicart.mesh.capacity.CapacityListener;

/**
 * Reports what is learned about the capacity of the local server to operators and to
 * other nodes.
 */
final class CapacityReporter implements CapacityListener {

	private final MeshMetrics metrics;

	private final DecisionLog decisions;

	private final Runnable notice;

	CapacityReporter(MeshMetrics metrics, DecisionLog decisions, Runnable notice) {
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.decisions = Objects.requireNonNull(decisions, "decisions");
		this.notice = Objects.requireNonNull(notice, "notice");
	}

	@Override
	public void changed(String instance, CapacityChange change) {
		this.metrics.countCapacityChange(change.reason());
		this.decisions.log("capacity-changed", "instance", instance, "reason", change.reason(), "limit", change.limit(),
				"speed", change.speed(), "service_ms", TimeUnit.NANOSECONDS.toMillis(change.serviceTime()));
	}

	@Override
	public void observed(int limit, double speed, long serviceTime, long age) {
		this.metrics.recordCapacity(limit, speed, serviceTime, age);
	}

	@Override
	public void noticeDue() {
		this.notice.run();
	}

}
