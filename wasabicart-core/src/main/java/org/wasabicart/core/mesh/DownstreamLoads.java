package org.wasabicart.core.mesh;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Loads of the services that the local server calls, from the load reports in the replies
 * to these calls. Each report covers what is further downstream, so that the load of the
 * bottleneck reaches the entry of a request without any knowledge of the call graph.
 */
public final class DownstreamLoads {

	/** Weight of the newest report; averages over about the last 20 calls. */
	private static final double WEIGHT = 0.05;

	/** Time after which a load without further reports no longer counts. */
	private static final long TIMEOUT = TimeUnit.SECONDS.toNanos(2);

	private final Map<String, Average> averages = new HashMap<>();

	/**
	 * Records a report.
	 * @param route route of the call of the local server
	 * @param load load of the called server or downstream of it
	 * @param now current time in nanoseconds
	 */
	public void record(String route, double load, long now) {
		this.averages.computeIfAbsent(route, (name) -> new Average(load)).record(load, now);
	}

	/**
	 * Returns the load of the most loaded service.
	 * @param now current time in nanoseconds
	 * @return the load; 0 if none is known
	 */
	public double highest(long now) {
		double highest = 0;
		for (Average average : this.averages.values()) {
			if (now - average.lastReport < TIMEOUT) {
				highest = Math.max(highest, average.load);
			}
		}
		return highest;
	}

	/**
	 * Removes the loads of routes that are no longer configured.
	 * @param names names of the configured routes
	 */
	public void retain(Collection<String> names) {
		this.averages.keySet().retainAll(names);
	}

	private static final class Average {

		private double load;

		private long lastReport;

		Average(double load) {
			this.load = load;
		}

		void record(double newest, long now) {
			this.load += WEIGHT * (newest - this.load);
			this.lastReport = now;
		}

	}

}
