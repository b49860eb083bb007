package org.wasabicart.core.mesh;

import java.util.concurrent.TimeUnit;

/**
 * Detects that the process did not run for some time. Data that is read right afterwards
 * may have waited for that time in the buffers of the kernel. The monotonic clock stands
 * still while a VM is suspended and the wall clock may be set, so the larger of both
 * differences counts: a wall clock that is set forward looks like a pause.
 */
public final class PauseDetector {

	/**
	 * Shortest time without an observation that counts as a pause; ticks are 50 ms apart.
	 */
	static final long MINIMUM_PAUSE = TimeUnit.MILLISECONDS.toNanos(500);

	/** Time after a pause in which buffered data is read. */
	static final long CATCH_UP_TIME = TimeUnit.MILLISECONDS.toNanos(100);

	private boolean started;

	private long lastMonotonic;

	private long lastWallClock;

	private long pause;

	private long pauseEnd;

	/**
	 * Records that the process runs.
	 * @param monotonic monotonic time in nanoseconds
	 * @param wallClock time since the epoch in milliseconds
	 * @return whether a pause has just ended
	 */
	public boolean observe(long monotonic, long wallClock) {
		long gap = Math.max(monotonic - this.lastMonotonic,
				TimeUnit.MILLISECONDS.toNanos(wallClock - this.lastWallClock));
		boolean paused = this.started && gap >= MINIMUM_PAUSE;
		if (paused) {
			this.pause = gap;
			this.pauseEnd = monotonic;
		}
		this.started = true;
		this.lastMonotonic = monotonic;
		this.lastWallClock = wallClock;
		return paused;
	}

	/**
	 * Returns the time for which data that is read now may have been buffered.
	 * @param monotonic monotonic time in nanoseconds
	 * @return the time in nanoseconds; 0 unless a pause has ended recently
	 */
	public long receiveDelay(long monotonic) {
		return (this.pause > 0 && monotonic - this.pauseEnd < CATCH_UP_TIME) ? this.pause : 0;
	}

}
