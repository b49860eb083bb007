package org.wasabicart.experiment.harness;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.wasabicart.standin.caller.ArrivalSchedule;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.CallerKind;
import org.wasabicart.standin.caller.LoadGenerator;
import org.wasabicart.standin.caller.LoadPhase;

/**
 * Sends idempotent requests at a low rate to several deployments at once, so that cold
 * code is no part of a measurement.
 */
public final class WarmUp {

	// Apart from the seeds of measurements, whose request ids would be the same.
	private static final long SEED = 1_000_003;

	private static final double LOAD = 0.4;

	private static final CallerBehaviour ONCE = new CallerBehaviour(1_000, 1, 0, false);

	private WarmUp() {
	}

	/**
	 * Warms up deployments.
	 * @param deployments deployments that are ready
	 * @param seconds length
	 * @throws Exception if requests could not be sent
	 */
	public static void run(List<Deployment> deployments, double seconds) throws Exception {
		ExecutorService threads = Executors.newFixedThreadPool(deployments.size());
		try {
			List<Callable<Void>> loads = new ArrayList<>();
			for (Deployment deployment : deployments) {
				loads.add(() -> load(deployment, seconds));
			}
			for (Future<Void> load : threads.invokeAll(loads)) {
				load.get();
			}
		}
		finally {
			threads.shutdownNow();
		}
	}

	private static Void load(Deployment deployment, double seconds) throws InterruptedException {
		DeploymentPlan plan = deployment.plan();
		List<CallerKind> kinds = plan.callerKinds().stream().filter((kind) -> !kind.order()).toList();
		List<LoadPhase> phases = List.of(new LoadPhase(seconds, LOAD * plan.capacity()));
		try (LoadGenerator generator = new LoadGenerator(deployment.httpUrls(), DeploymentPlan.TENANT, ONCE)) {
			generator.run(ArrivalSchedule.create(SEED, phases, kinds), (record) -> {
			});
		}
		return null;
	}

}
