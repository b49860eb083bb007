package org.wasabicart.core.overload;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.wasabicart.core.mesh.MeshRoute;
import org.wasabicart.core.mesh.RequestPriority;

/**
 * Shortages as one node observes, learns, passes on and applies them.
 */
public interface OverloadSignals {

	/** Neither observes nor applies shortages. */
	OverloadSignals NONE = new NoSignals();

	/**
	 * Sets the routes of callers outside the call graph.
	 * @param routes routes
	 * @param workspacePriorities priorities of the configured workspaces, empty if there
	 * are none
	 */
	void routes(Collection<MeshRoute> routes, Collection<Integer> workspacePriorities);

	/**
	 * Records a call for the local server, whether it is admitted or not.
	 * @param roomFound whether it can run at once
	 */
	void offered(boolean roomFound);

	/**
	 * Updates the shortage of the local server.
	 * @param slots calls that the server can run at the same time
	 * @param capacity calls per second that the server can run
	 * @param waiting calls that wait for the server
	 * @param now current time in nanoseconds
	 */
	void update(int slots, double capacity, int waiting, long now);

	/**
	 * Records that a call has started to run at the local server.
	 * @param route name of its route
	 * @param now current time in nanoseconds
	 */
	void started(String route, long now);

	/**
	 * Records that a call no longer runs at the local server.
	 * @param route name of its route
	 * @param started time in nanoseconds at which it started to run
	 * @param now current time in nanoseconds
	 */
	void ended(String route, long started, long now);

	/**
	 * Records a call that the local server makes.
	 * @param route name of the route of the call
	 * @param now current time in nanoseconds
	 */
	void called(String route, long now);

	/**
	 * Returns the shortages to be reported with the reply to a call.
	 * @param route name of the route of the call
	 * @param now current time in nanoseconds
	 * @return the shortages, or empty if this node reports none
	 */
	Optional<List<Shortage>> reports(String route, long now);

	/**
	 * Records what another node has reported with a reply.
	 * @param route name of the route of the call
	 * @param reports shortages
	 * @param now current time in nanoseconds
	 */
	void reported(String route, List<Shortage> reports, long now);

	/**
	 * Decides which share of the new requests of a route is admitted.
	 * @param route route
	 * @param priority priority of the requests
	 * @param now current time in nanoseconds
	 * @return the decision, or empty if no recent report is known
	 */
	Optional<AdmittedShare> admittedShare(MeshRoute route, RequestPriority priority, long now);

}
