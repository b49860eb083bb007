package org.wasabicart.mesh.allotment;

import org.wasabicart.core.model.NodeId;
import org.wasabicart.wire.generated.mesh.MeshAllotmentReport;

/**
 * Link to another node, which may be the coordinator.
 */
public interface FleetLink {

	/**
	 * Returns the other node.
	 * @return the node
	 */
	NodeId node();

	/**
	 * Returns whether the node answers.
	 * @return whether it can be reached
	 */
	boolean reachable();

	/**
	 * Returns whether the node is about to stop.
	 * @return whether it has said so
	 */
	boolean stopping();

	/**
	 * Returns the connection to the node, which changes when the link is opened again.
	 * @return the connection, or null if there is none
	 */
	Object connection();

	/**
	 * Sends a report to the node.
	 * @param report report
	 */
	void send(MeshAllotmentReport report);

	/**
	 * Checks whether the node answers.
	 */
	void ping();

}
