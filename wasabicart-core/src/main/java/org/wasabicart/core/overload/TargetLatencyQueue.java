package org.wasabicart.core.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.wasabicart.core.mesh.GateEntry;
import org.wasabicart.core.mesh.GateQueue;
import org.wasabicart.core.mesh.RequestPriority;

/**
 * Waiting calls by priority, then by what callers can still get. Handles lasting demand
 * beyond the capacity of a server: an order by deadline alone makes every answer late,
 * and one workspace with many calls displaces the others.
 */
public final class TargetLatencyQueue implements GateQueue {

	private final TreeMap<RequestPriority, TargetLatencyClasses> priorities = new TreeMap<>();

	private int size;

	@Override
	public void add(GateEntry entry, long now) {
		this.priorities.computeIfAbsent(entry.priority(), (priority) -> new TargetLatencyClasses()).add(entry, now);
		this.size++;
	}

	@Override
	public boolean remove(GateEntry entry) {
		TargetLatencyClasses classes = this.priorities.get(entry.priority());
		if (classes == null || !classes.remove(entry)) {
			return false;
		}
		removed(entry.priority(), classes);
		return true;
	}

	private void removed(RequestPriority priority, TargetLatencyClasses classes) {
		this.size--;
		if (classes.isEmpty()) {
			this.priorities.remove(priority);
		}
	}

	@Override
	public GateEntry first(long now) {
		return this.priorities.firstEntry().getValue().first(now);
	}

	@Override
	public void admitted(GateEntry entry) {
		TargetLatencyClasses classes = this.priorities.get(entry.priority());
		classes.admitted(entry);
		removed(entry.priority(), classes);
	}

	@Override
	public long position(GateEntry entry, long now) {
		long position = 1;
		for (TargetLatencyClasses classes : this.priorities.headMap(entry.priority()).values()) {
			position += classes.size();
		}
		TargetLatencyClasses own = this.priorities.get(entry.priority());
		return (own != null) ? position + own.callsBefore(entry, now) : position;
	}

	@Override
	public List<GateEntry> removeExpired(long now) {
		List<GateEntry> expired = new ArrayList<>();
		this.priorities.values().forEach((classes) -> classes.collectExpired(now, expired));
		expired.forEach(this::remove);
		return expired;
	}

	@Override
	public List<GateEntry> clear() {
		List<GateEntry> all = new ArrayList<>();
		for (Map.Entry<RequestPriority, TargetLatencyClasses> entry : this.priorities.entrySet()) {
			entry.getValue().collect(all);
		}
		this.priorities.clear();
		this.size = 0;
		return all;
	}

	@Override
	public int size() {
		return this.size;
	}

}
