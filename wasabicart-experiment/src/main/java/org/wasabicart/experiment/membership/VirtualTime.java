package org.wasabicart.experiment.membership;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.wasabicart.core.Ticker;

/**
 * Simulated clock that advances from event to event. Not thread-safe.
 */
final class VirtualTime implements Ticker {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::time).thenComparingLong(Event::number));

	private long now;

	private long lastSequenceNumber;

	@Override
	public long nanoseconds() {
		return this.now;
	}

	void schedule(long time, Runnable action) {
		this.lastSequenceNumber++;
		this.events.add(new Event(Math.max(time, this.now), this.lastSequenceNumber, action));
	}

	void runUntil(long time) {
		while (!this.events.isEmpty() && this.events.peek().time() <= time) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
		}
		this.now = time;
	}

	/**
	 * Scheduled action.
	 *
	 * @param time time in nanoseconds
	 * @param number sequence number, which orders events at the same time
	 * @param action action to run at that time
	 */
	private record Event(long time, long number, Runnable action) {
	}

}
