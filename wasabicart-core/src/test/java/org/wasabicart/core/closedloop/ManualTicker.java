package org.wasabicart.core.closedloop;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.wasabicart.core.Ticker;

/**
 * Clock that tests move by hand, with events that run when their time comes.
 */
public final class ManualTicker implements Ticker {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::time).thenComparingLong(Event::order));

	private long now;

	private long nextOrder;

	@Override
	public long nanoseconds() {
		return this.now;
	}

	/**
	 * Moves the clock without running events.
	 * @param duration duration
	 */
	public void advance(Duration duration) {
		this.now += duration.toNanos();
	}

	void after(long delay, Runnable action) {
		this.events.add(new Event(this.now + delay, this.nextOrder++, action));
	}

	void runUntil(long end) {
		while (!this.events.isEmpty() && this.events.peek().time() <= end) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
		}
		this.now = end;
	}

	private record Event(long time, long order, Runnable action) {

	}

}
