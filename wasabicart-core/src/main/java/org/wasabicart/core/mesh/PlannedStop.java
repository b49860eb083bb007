package org.wasabicart.core.mesh;

/**
 * Decides which requests a node that stops may still take: only those that end before the
 * node does, however long they take. A request whose timeout is unknown is not taken. The
 * load addressed is that of callers that send requests until they notice that the node is
 * not ready. Recent response times are no bound, since the next request may take longer
 * than all before it.
 */
public final class PlannedStop {

	private boolean stopping;

	private long end;

	/**
	 * Starts the stop. A repeated call does not change its end.
	 * @param time time in nanoseconds at which the node cuts off what is open
	 */
	public void stopAt(long time) {
		if (!this.stopping) {
			this.stopping = true;
			this.end = time;
		}
	}

	/**
	 * Returns whether the node stops.
	 * @return whether {@link #stopAt} has been called
	 */
	public boolean stopping() {
		return this.stopping;
	}

	/**
	 * Decides on a request.
	 * @param deadline time in nanoseconds at which the request ends in any case: the
	 * earlier of the caller's deadline and the timeout of the route
	 * @param stated whether the caller or the route states that time
	 * @return whether the node may take the request
	 */
	public boolean admits(long deadline, boolean stated) {
		return !this.stopping || stated && deadline - this.end <= 0;
	}

}
