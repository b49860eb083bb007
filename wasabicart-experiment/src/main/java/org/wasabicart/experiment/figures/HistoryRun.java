package org.wasabicart.experiment.figures;

/**
 * One request at a backend server, as recorded in the server's history.
 *
 * @param service service
 * @param server address of the backend server
 * @param root root request id
 * @param kind kind, or empty if the node did not pass it on
 * @param path path at this server
 * @param ran whether it ran; otherwise the server refused it
 * @param startMicroseconds start, or time of the refusal, since the epoch
 * @param endMicroseconds end since the epoch, or 0 if the history has none
 * @param serviceMicroseconds time of the server's own work
 * @param result result, or empty if the history has none
 */
public record HistoryRun(String service, String server, String root, String kind, String path, boolean ran,
		long startMicroseconds, long endMicroseconds, long serviceMicroseconds, String result) {

	/**
	 * Returns whether the run completed with an answer.
	 * @return whether it completed
	 */
	public boolean completed() {
		return this.result.equals("completed");
	}

	/**
	 * Returns the server's own work, without the time in which it waited for other
	 * servers.
	 * @return microseconds; less than the service time if the run was cancelled, 0 if the
	 * request was refused
	 */
	public long workMicroseconds() {
		if (!this.ran) {
			return 0;
		}
		long elapsed = (this.endMicroseconds > 0) ? this.endMicroseconds - this.startMicroseconds
				: this.serviceMicroseconds;
		return Math.min(elapsed, this.serviceMicroseconds);
	}

}
