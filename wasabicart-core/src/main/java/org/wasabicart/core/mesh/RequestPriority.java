package org.wasabicart.core.mesh;

/**
 * Urgency of a request: by the priority of its workspace, then by that of its route. A
 * request without a known workspace compares as one of the highest workspace priority:
 * nested calls carry no key, and refusing one wastes the work of the request that made
 * it. Without workspaces, only the routes decide.
 *
 * @param workspace priority of the workspace; 0 is the highest
 * @param route priority of the route; 0 is the highest
 */
public record RequestPriority(int workspace, int route) implements Comparable<RequestPriority> {

	/** Priority of a workspace that is not known. */
	public static final int UNKNOWN_WORKSPACE = 0;

	/**
	 * Returns the priority of a request whose workspace is not known.
	 * @param route priority of the route; 0 is the highest
	 * @return the priority
	 */
	public static RequestPriority ofRoute(int route) {
		return new RequestPriority(UNKNOWN_WORKSPACE, route);
	}

	/**
	 * Compares two priorities.
	 * @param other priority to compare with
	 * @return a negative number if this priority is higher, a positive one if it is lower
	 */
	@Override
	public int compareTo(RequestPriority other) {
		int order = Integer.compare(this.workspace, other.workspace);
		return (order != 0) ? order : Integer.compare(this.route, other.route);
	}

}
