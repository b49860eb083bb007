package org.wasabicart.experiment.overload;

import java.util.List;

import org.wasabicart.experiment.harness.DeployedNode;
import org.wasabicart.experiment.harness.Deployment;
import org.wasabicart.standin.caller.CallerBehaviour;

/**
 * Overload scenarios of the design page.
 */
final class OverloadScenarios {

	private static final double TRIGGER_SECONDS = 3;

	private static final CallerBehaviour RETRYING = new CallerBehaviour(1_000, 3, 50, true);

	private static final CallerBehaviour IMPATIENT = new CallerBehaviour(300, 10, 10, true);

	private static final double STORM_SLOW_FACTOR = 4;

	private static final double SLOW_FACTOR = 3;

	private static final double MISLEADING_SLOW_FACTOR = 8;

	private static final String COLD = "{\"startingMilliseconds\":500,\"coldMilliseconds\":2500,\"coldFactor\":5}";

	private static final String NO_FAULT = "{\"slowFactor\":1,\"errorShare\":0,\"reportedHealth\":\"actual\","
			+ "\"reportedRunning\":-1}";

	private OverloadScenarios() {
	}

	static OverloadScenario surge(double multiple) {
		return new OverloadScenario("surge", "Demand rises to a multiple of the capacity", 0.6, multiple, 1,
				TRIGGER_SECONDS, RETRYING, DeploymentAction.NONE, DeploymentAction.NONE);
	}

	static OverloadScenario retryStorm() {
		return new OverloadScenario("retry-storm",
				"The deep service slows down briefly while impatient callers repeat their requests", 0.8, 0.8,
				1 / STORM_SLOW_FACTOR, 2, IMPATIENT, (deployment) -> slow(deployment, STORM_SLOW_FACTOR),
				(deployment) -> slow(deployment, 1));
	}

	static OverloadScenario slowService() {
		return new OverloadScenario("slow-service", "The deep service slows down while demand doubles", 0.6, 2,
				1 / SLOW_FACTOR, TRIGGER_SECONDS, RETRYING, (deployment) -> slow(deployment, SLOW_FACTOR),
				(deployment) -> slow(deployment, 1));
	}

	// The capacity during the trigger counts the servers that stay warm only.
	static OverloadScenario coldStart() {
		return new OverloadScenario("cold-start", "A server of the deep service restarts cold under load", 0.8, 0.8,
				0.5, TRIGGER_SECONDS, RETRYING, OverloadScenarios::restartFirst, DeploymentAction.NONE);
	}

	static OverloadScenario misleadingHealth() {
		double left = (1 + 1 / MISLEADING_SLOW_FACTOR) / 2;
		return new OverloadScenario("misleading-health",
				"A slow server reports that it is idle and healthy, a working one the opposite", 0.5, 0.5, left,
				TRIGGER_SECONDS, RETRYING, OverloadScenarios::mislead, (deployment) -> {
					for (DeployedNode node : bottleneck(deployment)) {
						deployment.control().post(node.backendFaultsUrl(), NO_FAULT);
					}
				});
	}

	private static void restartFirst(Deployment deployment) throws Exception {
		DeployedNode first = bottleneck(deployment).get(0);
		deployment.control().post("http://" + first.backendAddress() + "/standin/restart", COLD);
	}

	private static void mislead(Deployment deployment) throws Exception {
		List<DeployedNode> nodes = bottleneck(deployment);
		deployment.control()
			.post(nodes.get(0).backendFaultsUrl(), "{\"slowFactor\":" + MISLEADING_SLOW_FACTOR
					+ ",\"reportedHealth\":\"healthy\",\"reportedRunning\":0}");
		deployment.control()
			.post(nodes.get(1).backendFaultsUrl(), "{\"reportedHealth\":\"unhealthy\",\"reportedRunning\":1000}");
	}

	private static void slow(Deployment deployment, double factor) throws Exception {
		for (DeployedNode node : bottleneck(deployment)) {
			deployment.control().post(node.backendFaultsUrl(), "{\"slowFactor\":" + factor + "}");
		}
	}

	private static List<DeployedNode> bottleneck(Deployment deployment) {
		return deployment.nodes(deployment.plan().bottleneck().name());
	}

}
