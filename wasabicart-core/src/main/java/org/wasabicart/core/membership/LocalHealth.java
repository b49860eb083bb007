package org.wasabicart.core.membership;

import java.util.concurrent.TimeUnit;

/**
 * Judges whether the local node is slow or cut off. Such a node waits longer before it
 * suspects others, since the fault is more likely its own.
 */
final class LocalHealth {

	/** A tick that is later than this shows that the process did not run. */
	static final long PAUSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int MAXIMUM_SCORE = 4;

	private static final long SILENCE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	// A lone survivor hears nothing either, and must remove the others in the end.
	private static final long MAXIMUM_HOLD_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

	private long lastTick;

	private long lastReceived;

	private int score;

	LocalHealth(long now) {
		this.lastTick = now;
		this.lastReceived = now;
	}

	/**
	 * Records a tick.
	 * @param now current time
	 * @return length of the pause before the tick, or zero
	 */
	long tick(long now) {
		long gap = now - this.lastTick;
		this.lastTick = now;
		if (gap < PAUSE_NANOSECONDS) {
			return 0;
		}
		this.score = Math.min(MAXIMUM_SCORE, this.score + 2);
		this.lastReceived += gap;
		return gap;
	}

	void received(long now) {
		this.lastReceived = now;
	}

	void probeAnswered() {
		this.score = Math.max(0, this.score - 1);
	}

	void probeFailed(long probeStart) {
		if (this.lastReceived - probeStart < 0) {
			this.score = Math.min(MAXIMUM_SCORE, this.score + 1);
		}
	}

	boolean isCutOff(long now) {
		long silence = now - this.lastReceived;
		return silence > SILENCE_NANOSECONDS && silence < MAXIMUM_HOLD_NANOSECONDS;
	}

	int timeoutFactor() {
		return 1 + this.score;
	}

}
