package org.wasabicart.core.allotment;

import java.util.Objects;

import org.wasabicart.core.workspace.WorkspaceName;

/**
 * Permission of a coordinator for the requests of one workspace at one node.
 *
 * @param workspace workspace
 * @param tokens further tokens
 * @param credits requests that the node may have admitted on credit and not reported
 * @param waitNanoseconds time until the demand of all nodes is met, 0 if it is met
 */
public record AllotmentTokens(WorkspaceName workspace, int tokens, int credits, long waitNanoseconds) {

	/** Most requests on credit at one node. */
	public static final int MAXIMUM_CREDITS = 16;

	public AllotmentTokens {
		Objects.requireNonNull(workspace, "workspace");
		if (tokens < 0 || credits < 0 || credits > MAXIMUM_CREDITS || waitNanoseconds < 0) {
			throw new IllegalArgumentException(
					"Tokens are out of range: " + tokens + ", " + credits + ", " + waitNanoseconds);
		}
	}

}
