package org.wasabicart.standin.relay;

/**
 * One direction of the link between two regions: all traffic is sent one after the other
 * at the link's rate. Safe for use by several threads.
 */
final class RegionLink {

	private final double nanosecondsPerByte;

	private long freeNanoseconds = Long.MIN_VALUE;

	private long bytes;

	RegionLink(double megabits) {
		this.nanosecondsPerByte = (megabits > 0) ? 8000 / megabits : 0;
	}

	/**
	 * Sends bytes.
	 * @param now time by {@link System#nanoTime()}
	 * @param count bytes with their headers
	 * @return the time at which the last byte has left
	 */
	synchronized long send(long now, long count) {
		long start = Math.max(now, this.freeNanoseconds);
		this.freeNanoseconds = start + Math.round(count * this.nanosecondsPerByte);
		this.bytes += count;
		return this.freeNanoseconds;
	}

	synchronized long backlogNanoseconds(long now) {
		return (this.freeNanoseconds > now) ? this.freeNanoseconds - now : 0;
	}

	synchronized long bytes() {
		return this.bytes;
	}

}
