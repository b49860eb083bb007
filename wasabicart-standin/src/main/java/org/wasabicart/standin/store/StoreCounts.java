package org.wasabicart.standin.store;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.standin.http.Json;

/**
 * Counts the calls by kind, and the watches that are open now.
 */
final class StoreCounts {

	private final Map<String, AtomicLong> calls = new ConcurrentSkipListMap<>();

	private final AtomicLong pendingWatches = new AtomicLong();

	void called(String path) {
		this.calls.computeIfAbsent(path, (ignored) -> new AtomicLong()).incrementAndGet();
	}

	void watchOpened() {
		this.pendingWatches.incrementAndGet();
	}

	void watchClosed() {
		this.pendingWatches.decrementAndGet();
	}

	ObjectNode toJson() {
		ObjectNode byKind = Json.object();
		long total = 0;
		for (Map.Entry<String, AtomicLong> entry : this.calls.entrySet()) {
			long count = entry.getValue().get();
			byKind.put(entry.getKey(), count);
			total += count;
		}
		ObjectNode result = Json.object();
		result.put("total", total);
		result.put("pendingWatches", this.pendingWatches.get());
		result.set("calls", byKind);
		return result;
	}

}
