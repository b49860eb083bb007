package org.wasabicart.core.allotment;

import java.util.Objects;

import org.wasabicart.core.workspace.WorkspaceName;

/**
 * Demand of one workspace at one node.
 *
 * @param workspace workspace
 * @param wanted further tokens wanted until the next report
 * @param held tokens that the node holds
 * @param spent requests that the node has counted since the session started
 */
public record AllotmentDemand(WorkspaceName workspace, int wanted, int held, long spent) {

	public AllotmentDemand {
		Objects.requireNonNull(workspace, "workspace");
		if (wanted < 0 || held < 0 || spent < 0) {
			throw new IllegalArgumentException("Demand is negative: " + wanted + ", " + held + ", " + spent);
		}
	}

}
