package org.wasabicart.core.link;

import java.time.Duration;

/**
 * Decides when a link sends heartbeats and when it counts as suspect or silent. Time
 * during which this process was paused does not count as silence of the link. Not safe
 * for use by several threads.
 */
public final class LinkMonitor {

	private final long heartbeatNanoseconds;

	private final long suspectNanoseconds;

	private final long silentNanoseconds;

	private long lastFrame;

	private long lastHeartbeat;

	private long lastCheck;

	private boolean watching;

	/**
	 * Creates a monitor that does not watch the link yet.
	 * @param heartbeatInterval time between heartbeats while streams are open
	 * @param suspectAfter time without a frame after which new calls avoid the link
	 * @param silentAfter time without a frame after which the link is given up
	 */
	public LinkMonitor(Duration heartbeatInterval, Duration suspectAfter, Duration silentAfter) {
		this.heartbeatNanoseconds = heartbeatInterval.toNanos();
		this.suspectNanoseconds = suspectAfter.toNanos();
		this.silentNanoseconds = silentAfter.toNanos();
		if (this.heartbeatNanoseconds < 1 || this.suspectNanoseconds < this.heartbeatNanoseconds
				|| this.silentNanoseconds < this.suspectNanoseconds) {
			throw new IllegalArgumentException(
					"Times must satisfy 0 < heartbeatInterval <= suspectAfter <= silentAfter");
		}
	}

	/**
	 * Starts watching the link because streams are open. Has no effect while the link is
	 * being watched.
	 * @param now time in nanoseconds
	 */
	public void start(long now) {
		if (this.watching) {
			return;
		}
		this.watching = true;
		this.lastFrame = now;
		this.lastHeartbeat = now;
		this.lastCheck = now;
	}

	/**
	 * Stops watching the link because no stream is open.
	 */
	public void stop() {
		this.watching = false;
	}

	/**
	 * Records that a frame arrived.
	 * @param now time in nanoseconds
	 */
	public void frameReceived(long now) {
		this.lastFrame = now;
	}

	/**
	 * Checks the link. Must be called several times per heartbeat interval.
	 * @param now time in nanoseconds
	 * @return health of the link, and whether a heartbeat is due
	 */
	public LinkCheck check(long now) {
		if (!this.watching) {
			return new LinkCheck(LinkHealth.HEALTHY, false);
		}
		long gap = now - this.lastCheck;
		this.lastCheck = now;
		if (gap > this.heartbeatNanoseconds) {
			// The process was paused, so frames that arrived meanwhile are not read yet.
			this.lastFrame = Math.min(now, this.lastFrame + gap - this.heartbeatNanoseconds);
		}
		boolean heartbeat = now - this.lastHeartbeat >= this.heartbeatNanoseconds;
		if (heartbeat) {
			this.lastHeartbeat = now;
		}
		return new LinkCheck(health(now - this.lastFrame), heartbeat);
	}

	private LinkHealth health(long nanosecondsWithoutFrame) {
		if (nanosecondsWithoutFrame >= this.silentNanoseconds) {
			return LinkHealth.SILENT;
		}
		return (nanosecondsWithoutFrame >= this.suspectNanoseconds) ? LinkHealth.SUSPECT : LinkHealth.HEALTHY;
	}

}
