package org.wasabicart.core.closedloop;

import java.util.TreeMap;

import org.wasabicart.core.model.KindName;

/**
 * Demand of one kind, with counts of what came back.
 */
final class KindLoad {

	private static final long SLOT = FakeChain.SECOND / 10;

	private final KindName kind;

	private final int importance;

	private final int clientRetries;

	private final boolean honoursHints;

	private double rate;

	private final TreeMap<Long, Integer> answeredBySlot = new TreeMap<>();

	private final TreeMap<Long, Integer> demandBySlot = new TreeMap<>();

	private long sends;

	private long requests;

	KindLoad(String name, int importance, double rate, int clientRetries, boolean honoursHints) {
		this.kind = new KindName(name);
		this.importance = importance;
		this.rate = rate;
		this.clientRetries = clientRetries;
		this.honoursHints = honoursHints;
	}

	KindName kind() {
		return this.kind;
	}

	int importance() {
		return this.importance;
	}

	double rate() {
		return this.rate;
	}

	void setRate(double rate) {
		this.rate = rate;
	}

	int clientRetries() {
		return this.clientRetries;
	}

	boolean honoursHints() {
		return this.honoursHints;
	}

	void countOffered(boolean first, long now) {
		this.sends++;
		if (first) {
			this.requests++;
			this.demandBySlot.merge(now / SLOT, 1, Integer::sum);
		}
	}

	void countAnswered(long now) {
		this.answeredBySlot.merge(now / SLOT, 1, Integer::sum);
	}

	/**
	 * Returns the answers per second within an interval.
	 * @param from start in seconds
	 * @param to end in seconds
	 * @return answers per second
	 */
	double goodput(double from, double to) {
		return rate(this.answeredBySlot, from, to);
	}

	double demand(double from, double to) {
		return rate(this.demandBySlot, from, to);
	}

	private static double rate(TreeMap<Long, Integer> counts, double from, double to) {
		int count = counts.subMap(Math.round(from * 10), Math.round(to * 10))
			.values()
			.stream()
			.mapToInt(Integer::intValue)
			.sum();
		return count / (to - from);
	}

	double sendsPerRequest() {
		return (double) this.sends / Math.max(1, this.requests);
	}

}
