package org.wasabicart.experiment.overload;

import org.wasabicart.experiment.harness.Deployment;

/**
 * Action on a running deployment that begins or ends the trigger of an overload.
 */
@FunctionalInterface
public interface DeploymentAction {

	/** Does nothing. */
	DeploymentAction NONE = (deployment) -> {
	};

	/**
	 * Applies the action.
	 * @param deployment deployment to change
	 * @throws Exception if a stand-in does not respond
	 */
	void apply(Deployment deployment) throws Exception;

}
