package org.wasabicart.node.request;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.wasabicart.core.model.ServiceName;
import org.wasabicart.node.peer.ServiceThreshold;

/**
 * Records the latest threshold of each service from responses, for metrics and status.
 */
public final class ThresholdRegister {

	private final ConcurrentMap<ServiceName, Integer> thresholds = new ConcurrentHashMap<>();

	void record(List<ServiceThreshold> observed) {
		observed.forEach((threshold) -> this.thresholds.put(threshold.service(), threshold.threshold()));
	}

	/**
	 * Returns the latest threshold of each service.
	 * @return a copy
	 */
	public Map<ServiceName, Integer> thresholds() {
		return Map.copyOf(this.thresholds);
	}

}
