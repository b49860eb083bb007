package org.wasabicart.experiment.overload;

import org.wasabicart.experiment.harness.Deployment;

/**
 * Begins or ends a trigger in a running deployment.
 */
@FunctionalInterface
public interface DeploymentAction {

	/** Does nothing. */
	DeploymentAction NONE = (deployment) -> {
	};

	/**
	 * Acts on the deployment.
	 * @param deployment deployment
	 * @throws Exception if a stand-in does not answer
	 */
	void apply(Deployment deployment) throws Exception;

}
