package org.wasabicart.mesh.allotment;

import java.util.Optional;

import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.workspace.WorkspaceName;

/**
 * Receives the state of the allotments at one node, for operators.
 */
public interface AllotmentObserver {

	/**
	 * Which node coordinates.
	 * @param coordinator coordinator that this node follows, or empty before the first
	 * choice
	 * @param share share of the fleet that follows this node, 0 if it follows another
	 */
	void coordination(Optional<NodeId> coordinator, double share);

	/**
	 * State of one limited workspace.
	 * @param workspace workspace
	 * @param tokens tokens that this node holds
	 * @param credit requests that this node may admit on credit
	 * @param left tokens left to lend if this node coordinates, otherwise 0
	 */
	void workspace(WorkspaceName workspace, int tokens, int credit, double left);

}
