package org.wasabicart.core.mesh;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * Waiting calls by priority, then by the earliest latest start. Handles calls of
 * different patience: those with an early latest start do not starve behind calls that
 * can wait longer.
 */
public final class DeadlineQueue implements GateQueue {

	private static final Comparator<GateEntry> ORDER = Comparator.comparing(GateEntry::priority)
		.thenComparingLong(GateEntry::latestStart)
		.thenComparingLong(GateEntry::sequence);

	private final TreeSet<GateEntry> entries = new TreeSet<>(ORDER);

	@Override
	public void add(GateEntry entry, long now) {
		this.entries.add(entry);
	}

	@Override
	public boolean remove(GateEntry entry) {
		return this.entries.remove(entry);
	}

	@Override
	public GateEntry first(long now) {
		return this.entries.first();
	}

	@Override
	public void admitted(GateEntry entry) {
		this.entries.remove(entry);
	}

	@Override
	public long position(GateEntry entry, long now) {
		return this.entries.headSet(entry).size() + 1L;
	}

	@Override
	public List<GateEntry> removeExpired(long now) {
		List<GateEntry> expired = new ArrayList<>();
		for (Iterator<GateEntry> iterator = this.entries.iterator(); iterator.hasNext();) {
			GateEntry entry = iterator.next();
			if (now - entry.latestStart() > 0) {
				iterator.remove();
				expired.add(entry);
			}
		}
		return expired;
	}

	@Override
	public List<GateEntry> clear() {
		List<GateEntry> all = List.copyOf(this.entries);
		this.entries.clear();
		return all;
	}

	@Override
	public int size() {
		return this.entries.size();
	}

}
