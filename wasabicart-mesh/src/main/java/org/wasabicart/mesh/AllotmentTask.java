package org.wasabicart.mesh;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;

import org.wasabicart.core.allotment.Allotment;
import org.wasabicart.core.workspace.Workspace;
import org.wasabicart.core.workspace.WorkspaceDirectory;
import org.wasabicart.core.workspace.WorkspaceName;
import org.wasabicart.mesh.allotment.FleetAllotments;

/**
 * Runs the periodic work of the allotments while the configuration limits a workspace.
 */
final class AllotmentTask {

	/** Interval of the metrics, which are read every few seconds. */
	private static final long METRICS_INTERVAL = TimeUnit.SECONDS.toNanos(1);

	private final FleetAllotments allotments;

	private final EventLoop eventLoop;

	private final MeshMetrics metrics;

	private final Runnable tick;

	private Future<?> scheduled;

	private long lastMetrics;

	AllotmentTask(FleetAllotments allotments, EventLoop eventLoop, MeshMetrics metrics) {
		this.allotments = Objects.requireNonNull(allotments, "allotments");
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.tick = new GuardedTask("allotments", this::tick);
	}

	private void tick() {
		long now = System.nanoTime();
		this.allotments.tick(now);
		if (now - this.lastMetrics >= METRICS_INTERVAL) {
			recordMetrics(now);
		}
	}

	private void recordMetrics(long now) {
		this.lastMetrics = now;
		this.metrics.recordAllotments(this.allotments, now);
	}

	/**
	 * Applies the allotments of a configuration.
	 * @param workspaces workspaces of the configuration
	 */
	void configure(WorkspaceDirectory workspaces) {
		Map<WorkspaceName, Allotment> limits = workspaces.workspaces()
			.stream()
			.collect(Collectors.toMap(Workspace::name, Workspace::allotment));
		this.allotments.configure(limits);
		if (this.allotments.active()) {
			// The shares of the nodes depend on their number, which is read by a tick.
			this.tick.run();
			if (this.scheduled == null) {
				this.scheduled = this.eventLoop.scheduleWithFixedDelay(this.tick, FleetAllotments.TICK_MILLISECONDS,
						FleetAllotments.TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
			}
		}
		else if (this.scheduled != null) {
			this.scheduled.cancel(false);
			this.scheduled = null;
			recordMetrics(System.nanoTime());
		}
	}

}
