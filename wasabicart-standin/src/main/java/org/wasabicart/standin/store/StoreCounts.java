package org.wasabicart.standin.store;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.standin.http.Json;

/**
 * Counts calls by path, and open watches.
 */
final class StoreCounts {

	private final Map<String, AtomicLong> callsByPath = new ConcurrentSkipListMap<>();

	private final AtomicLong openWatches = new AtomicLong();

	void recordCall(String path) {
		this.callsByPath.computeIfAbsent(path, (ignored) -> new AtomicLong()).incrementAndGet();
	}

	void watchOpened() {
		this.openWatches.incrementAndGet();
	}

	void watchClosed() {
		this.openWatches.decrementAndGet();
	}

	ObjectNode toJson() {
		ObjectNode byPath = Json.object();
		long total = 0;
		for (Map.Entry<String, AtomicLong> entry : this.callsByPath.entrySet()) {
			long count = entry.getValue().get();
			byPath.put(entry.getKey(), count);
			total += count;
		}
		ObjectNode result = Json.object();
		result.put("total", total);
		result.put("pendingWatches", this.openWatches.get());
		result.set("calls", byPath);
		return result;
	}

}
