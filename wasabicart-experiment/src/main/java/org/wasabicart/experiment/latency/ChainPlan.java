package org.wasabicart.experiment.latency;

import java.util.ArrayList;
import java.util.List;

import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.experiment.harness.FailureDomainModel;
import org.wasabicart.experiment.harness.KindModel;
import org.wasabicart.experiment.harness.ServiceModel;

/**
 * Deployment plan with three parts: an entry service, whose node receives all requests, a
 * service that is called over one hop, and a chain of services. The service time of all
 * services is zero.
 */
final class ChainPlan {

	static final String HOP_KIND = "hop";

	static final String CHAIN_KIND = "chain";

	static final String HOP_SERVICE = "hop";

	static final String ENTRY_SERVICE = "entry";

	private static final int SLOTS = 200;

	private static final int CONNECTIONS = 1_000;

	private static final long DEADLINE_MILLISECONDS = 5_000;

	private static final long QUEUE_MILLISECONDS = 100;

	private static final int ANSWER_BYTES = 300;

	private ChainPlan() {
	}

	static DeploymentPlan of(int depth) {
		List<ServiceModel> services = new ArrayList<>();
		services.add(service(ENTRY_SERVICE, List.of()));
		services.add(service(HOP_SERVICE, List.of()));
		for (int level = 0; level < depth; level++) {
			List<String> calls = (level + 1 < depth) ? List.of(levelName(level + 1)) : List.of();
			services.add(service(levelName(level), calls));
		}
		return new DeploymentPlan("latency", List.of(new FailureDomainModel("a-1", "a")), services,
				List.of(kind(HOP_KIND, HOP_SERVICE), kind(CHAIN_KIND, levelName(0))), 0, 0, 30, false);
	}

	static String levelName(int level) {
		return "level-" + level;
	}

	private static KindModel kind(String name, String service) {
		return new KindModel(name, 50, 1, false, service, "/" + name, DEADLINE_MILLISECONDS, 0, 1);
	}

	private static ServiceModel service(String name, List<String> calls) {
		return new ServiceModel(name, 1, SLOTS, CONNECTIONS, 0, calls, DEADLINE_MILLISECONDS, QUEUE_MILLISECONDS,
				ANSWER_BYTES);
	}

}
