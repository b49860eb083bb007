package org.wasabicart.core.mesh;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a node has learned about the incarnations of backend servers. A record outlives
 * the membership of its server, whose entry in the store may expire and return.
 */
public final class IncarnationRecords {

	/** Several times the servers of a large fleet, whose incarnations live for hours. */
	private static final int MAXIMUM_RECORDS = 4096;

	private static final float LOAD_FACTOR = 0.75f;

	private static final int INITIAL_CAPACITY = 64;

	private final Map<BackendIncarnation, IncarnationRecord> records = new LinkedHashMap<>(INITIAL_CAPACITY,
			LOAD_FACTOR, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<BackendIncarnation, IncarnationRecord> eldest) {
			return size() > MAXIMUM_RECORDS;
		}
	};

	/**
	 * Returns the record of an incarnation. Of many incarnations, the one that was
	 * requested least recently is forgotten.
	 * @param incarnation incarnation
	 * @return its record, which is empty if the incarnation is new
	 */
	public IncarnationRecord get(BackendIncarnation incarnation) {
		return this.records.computeIfAbsent(incarnation, (key) -> new IncarnationRecord());
	}

}
