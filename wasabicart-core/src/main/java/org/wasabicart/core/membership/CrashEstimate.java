package org.wasabicart.core.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Holds removals back while more members appear dead than can have crashed. After
 * Mostefaoui, Raynal and Tredan, "On the Fly Estimation of the Processes that Are Alive
 * in an Asynchronous Message-Passing System"; the paper assumes a static set of processes
 * and reliable links, so that the hold is bounded here.
 */
final class CrashEstimate {

	private final int crashes;

	private final long window;

	private final long maximumHold;

	private final Deque<Long> removals = new ArrayDeque<>();

	private long heldSince;

	private boolean holding;

	/**
	 * Creates an estimate.
	 * @param crashes members that can crash within the window
	 * @param window window
	 * @param maximumHold longest time for which removals are held back
	 */
	CrashEstimate(int crashes, Duration window, Duration maximumHold) {
		this.crashes = crashes;
		this.window = window.toNanos();
		this.maximumHold = maximumHold.toNanos();
	}

	boolean allows(int pending, long now) {
		while (!this.removals.isEmpty() && now - this.removals.peek() > this.window) {
			this.removals.poll();
		}
		if (pending + this.removals.size() <= this.crashes) {
			this.holding = false;
			return true;
		}
		if (!this.holding) {
			this.holding = true;
			this.heldSince = now;
		}
		return now - this.heldSince >= this.maximumHold;
	}

	void removed(long now) {
		this.removals.add(now);
	}

}
