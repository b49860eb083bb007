package org.wasabicart.standin.relay;

/**
 * One direction of the link between two regions. All traffic is serialised at the link's
 * rate. This class is thread-safe.
 */
final class RegionLink {

	private final double nanosecondsPerByte;

	private long freeAtNanoseconds = Long.MIN_VALUE;

	private long sentBytes;

	RegionLink(double megabitsPerSecond) {
		this.nanosecondsPerByte = (megabitsPerSecond > 0) ? 8000 / megabitsPerSecond : 0;
	}

	/**
	 * Sends bytes after those that are already queued.
	 * @param now time by {@link System#nanoTime()}
	 * @param count number of bytes, including headers
	 * @return the time at which the last byte leaves the link
	 */
	synchronized long send(long now, long count) {
		long start = Math.max(now, this.freeAtNanoseconds);
		this.freeAtNanoseconds = start + Math.round(count * this.nanosecondsPerByte);
		this.sentBytes += count;
		return this.freeAtNanoseconds;
	}

	synchronized long backlogNanoseconds(long now) {
		return (this.freeAtNanoseconds > now) ? this.freeAtNanoseconds - now : 0;
	}

	synchronized long sentBytes() {
		return this.sentBytes;
	}

}
