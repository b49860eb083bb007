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

	private static final CallerBehaviour RETRYING_CALLERS = new CallerBehaviour(1_000, 3, 50, true);

	private static final CallerBehaviour SHORT_TIMEOUT_CALLERS = new CallerBehaviour(300, 10, 10, true);

	private static final double STORM_SLOW_FACTOR = 4;

	private static final double SLOW_FACTOR = 3;

	private static final double MISLEADING_SLOW_FACTOR = 8;

	private static final String COLD_RESTART = "{\"startingMilliseconds\":500,\"coldMilliseconds\":2500,\"coldFactor\":5}";

	private static final String NO_FAULTS = "{\"slowFactor\":1,\"errorShare\":0,\"reportedHealth\":\"actual\","
			+ "\"reportedRunning\":-1}";

	private OverloadScenarios() {
	}

	static OverloadScenario surge(double multiple) {
		return new OverloadScenario("surge", "Demand rises to a multiple of the capacity", 0.6, multiple, 1,
				TRIGGER_SECONDS, RETRYING_CALLERS, DeploymentAction.NONE, DeploymentAction.NONE);
	}

	static OverloadScenario retryStorm() {
		return new OverloadScenario("retry-storm",
				"The bottleneck service slows down briefly while callers with short timeouts retry", 0.8, 0.8,
				1 / STORM_SLOW_FACTOR, 2, SHORT_TIMEOUT_CALLERS,
				(deployment) -> setSlowFactor(deployment, STORM_SLOW_FACTOR),
				(deployment) -> setSlowFactor(deployment, 1));
	}

	static OverloadScenario slowService() {
		return new OverloadScenario("slow-service",
				"The bottleneck service slows down while demand rises to twice the capacity", 0.6, 2, 1 / SLOW_FACTOR,
				TRIGGER_SECONDS, RETRYING_CALLERS, (deployment) -> setSlowFactor(deployment, SLOW_FACTOR),
				(deployment) -> setSlowFactor(deployment, 1));
	}

	// The capacity during the trigger includes only the servers that stay warm.
	static OverloadScenario coldStart() {
		return new OverloadScenario("cold-start", "A server of the bottleneck service restarts cold under load", 0.8,
				0.8, 0.5, TRIGGER_SECONDS, RETRYING_CALLERS, OverloadScenarios::restartFirstServer,
				DeploymentAction.NONE);
	}

	static OverloadScenario misleadingHealth() {
		double remainingCapacityShare = (1 + 1 / MISLEADING_SLOW_FACTOR) / 2;
		return new OverloadScenario("misleading-health",
				"A slow server reports that it is idle and healthy, a normal one that it is busy and unhealthy", 0.5,
				0.5, remainingCapacityShare, TRIGGER_SECONDS, RETRYING_CALLERS, OverloadScenarios::reportFalseHealth,
				(deployment) -> {
					for (DeployedNode node : bottleneckNodes(deployment)) {
						deployment.httpControl().post(node.backendFaultsUrl(), NO_FAULTS);
					}
				});
	}

	private static void restartFirstServer(Deployment deployment) throws Exception {
		DeployedNode first = bottleneckNodes(deployment).get(0);
		deployment.httpControl().post("http://" + first.backendAddress() + "/standin/restart", COLD_RESTART);
	}

	private static void reportFalseHealth(Deployment deployment) throws Exception {
		List<DeployedNode> nodes = bottleneckNodes(deployment);
		deployment.httpControl()
			.post(nodes.get(0).backendFaultsUrl(), "{\"slowFactor\":" + MISLEADING_SLOW_FACTOR
					+ ",\"reportedHealth\":\"healthy\",\"reportedRunning\":0}");
		deployment.httpControl()
			.post(nodes.get(1).backendFaultsUrl(), "{\"reportedHealth\":\"unhealthy\",\"reportedRunning\":1000}");
	}

	private static void setSlowFactor(Deployment deployment, double factor) throws Exception {
		for (DeployedNode node : bottleneckNodes(deployment)) {
			deployment.httpControl().post(node.backendFaultsUrl(), "{\"slowFactor\":" + factor + "}");
		}
	}

	private static List<DeployedNode> bottleneckNodes(Deployment deployment) {
		return deployment.nodes(deployment.plan().bottleneck().name());
	}

}
