package org.wasabicart.core.membership;

import java.util.concurrent.TimeUnit;

/**
 * Estimates whether the local node is slow or isolated. A slow node waits longer for
 * acknowledgements, and an isolated one suspects and removes no member, since the fault
 * is more likely its own.
 */
final class LocalHealth {

	/** Time between two ticks from which the process counts as paused. */
	static final long PAUSE_THRESHOLD_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int MAXIMUM_SCORE = 4;

	/** Time without a received message after which the node counts as isolated. */
	private static final long ISOLATION_THRESHOLD_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Time without a received message after which the node no longer counts as isolated.
	 * When all other nodes have crashed it receives nothing either, and must still remove
	 * them.
	 */
	private static final long MAXIMUM_ISOLATION_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

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
		if (gap < PAUSE_THRESHOLD_NANOSECONDS) {
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

	// The fault may be local only if nothing was received since the probe started.
	void probeFailed(long probeStart) {
		if (this.lastReceived - probeStart < 0) {
			this.score = Math.min(MAXIMUM_SCORE, this.score + 1);
		}
	}

	boolean isIsolated(long now) {
		long silence = now - this.lastReceived;
		return silence > ISOLATION_THRESHOLD_NANOSECONDS && silence < MAXIMUM_ISOLATION_NANOSECONDS;
	}

	int timeoutFactor() {
		return 1 + this.score;
	}

}
